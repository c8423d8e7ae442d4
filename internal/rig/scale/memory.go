package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"petrelhook/internal/rig/usage"
)

// pids are those of the run's processes, including sidecars that agents have started.
func (r *run) pids() []int {
	all := r.processes.pids()
	if r.options.realMachinesOf(r.workload) > 0 {
		for _, p := range runningSidecars(filepath.Join(r.dir, machinesDir)) {
			all = append(all, p.PID)
		}
	}
	return all
}

// watchMemory cancels the run when its processes together have more memory resident than the budget. It returns when ctx ends.
func watchMemory(ctx context.Context, pids func() []int, budget int64, exceeded context.CancelCauseFunc) {
	const every = 100 * time.Millisecond
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		sum := int64(0)
		for _, pid := range append(pids(), os.Getpid()) {
			if n, err := usage.Resident(pid); err == nil { // a process that has ended meanwhile has none
				sum += n
			}
		}
		if sum > budget {
			exceeded(fmt.Errorf("--memory: the processes of the run have %d MiB resident, over the budget of %d MiB",
				sum>>20, budget>>20))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
