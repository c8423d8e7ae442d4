package scale

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/machine"
)

// processes are the sidecars that live, of all agents whose folders are in one: each start's file names its process.
func processes(dir string) (all []agent.Process) {
	files, _ := filepath.Glob(filepath.Join(dir, "*", "data", "start-*"))
	for _, f := range files {
		var p agent.Process
		text, _ := os.ReadFile(f)
		if n, _ := fmt.Sscan(string(text), &p.PID, &p.StartTicks); n == 2 && machine.Lives(p) {
			all = append(all, p)
		}
	}
	return all
}

// lastLooks is how often nothing may be found before nothing is left: an agent that was killed may have had a start
// under way.
const lastLooks = 10

// Mind kills the sidecars below a folder once there is no more input: agents leave them as they end, and so would a
// run that was killed. It returns when none is left, or ctx ends.
func Mind(ctx context.Context, dir string, input io.Reader) error {
	ended := make(chan struct{})
	go func() { // it ends with its input
		defer close(ended)
		for b := make([]byte, 1); ; {
			if _, err := input.Read(b); err != nil {
				return
			}
		}
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	none := 0
	return until(ctx, "all sidecars have ended", func() bool {
		all := processes(dir)
		for _, p := range all {
			syscall.Kill(p.PID, syscall.SIGKILL)
		}
		if none++; len(all) > 0 {
			none = 0
		}
		return none >= lastLooks
	})
}
