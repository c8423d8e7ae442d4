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

// runningSidecars are the sidecars that run, of all agents whose folders are in dir: the file of each start names its process.
func runningSidecars(dir string) (all []agent.Process) {
	files, _ := filepath.Glob(filepath.Join(dir, "*", "data", "start-*"))
	for _, f := range files {
		var p agent.Process
		text, _ := os.ReadFile(f)
		if n, _ := fmt.Sscan(string(text), &p.PID, &p.StartTicks); n == 2 && machine.IsRunning(p) {
			all = append(all, p)
		}
	}
	return all
}

// finalPolls is the number of polls in a row that must find no sidecar: an agent that was killed may have had a start under way.
const finalPolls = 10

// MindSidecars kills the sidecars of agents whose folders are in dir once input ends: agents leave sidecars running when they end,
// and so would a run that was killed. It returns when none is left, or ctx ends.
func MindSidecars(ctx context.Context, dir string, input io.Reader) error {
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
	return pollUntil(ctx, "all sidecars have ended", func() bool {
		all := runningSidecars(dir)
		for _, p := range all {
			syscall.Kill(p.PID, syscall.SIGKILL)
		}
		if none++; len(all) > 0 {
			none = 0
		}
		return none >= finalPolls
	})
}
