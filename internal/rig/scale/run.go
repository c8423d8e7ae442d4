package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"petrelhook/internal/coordination/capacity"
	"petrelhook/internal/coordination/fleet"
)

// run is one run: a fleet that is started, measured and ended.
type run struct {
	options     *Options
	workload    string
	size        int
	number      int
	description string
	limit       uint64
	points      []capacity.Point

	layout             layout
	dir                string
	coordinatorDataDir string // of coordinators' configurations and data
	processes          *processGroup
	group              *coordinatorGroup
	members            *memberProcesses

	machines *realMachines // nil: the workload has none, or they have not started
	serving  *serving
	fail     context.CancelCauseFunc // ends the run with an error
}

func (r *run) progress(doing string) {
	if r.options.Progress != nil {
		r.options.Progress(r.description + ": " + doing)
	}
}

func (r *run) add(role, metric string, value float64) {
	r.points = append(r.points, capacity.Point{Workload: r.workload, Role: role, Metric: metric, Size: r.size,
		Run: r.number, Value: value})
}

// execute does the run. When it returns, its processes have ended and its files are removed.
func (r *run) execute(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if r.layout, err = newLayout(r.workload, r.size, r.options.realMachinesOf(r.workload), r.limit); err != nil {
		return err
	}
	if r.dir, err = os.MkdirTemp("", "petrel-scale-"); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(r.dir)) }()
	if r.coordinatorDataDir = r.dir; r.options.CoordinatorDataDir != "" {
		if r.coordinatorDataDir, err = os.MkdirTemp(r.options.CoordinatorDataDir, "kept-"); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(r.coordinatorDataDir)) }()
	}
	r.processes, r.fail = newProcessGroup(r.dir, cancel), cancel
	watched := make(chan struct{})
	go func() { defer close(watched); watchMemory(ctx, r.pids, r.options.MemoryLimitBytes, cancel) }()
	defer func() {
		if cause := context.Cause(ctx); err != nil && cause != nil { // the cause; other errors follow from it
			err = cause
		}
		cancel(nil)
		<-watched
		if err = errors.Join(err, r.end()); err != nil { // the points are incomplete
			r.points = nil
		}
	}()
	return r.startAndMeasure(ctx)
}

// end ends what the run has started and is left. The error is that of the process that ends leftover sidecars.
func (r *run) end() (err error) {
	if r.serving != nil { // a run that succeeded has stopped it already
		_ = r.serving.stop()
	}
	if r.members != nil {
		r.members.close()
	}
	r.processes.close()
	if r.machines != nil {
		err = r.machines.close()
	}
	if r.group != nil {
		r.group.close()
	}
	return err
}

// startAndMeasure starts the coordinators and the processes of members, and runs the workload.
func (r *run) startAndMeasure(ctx context.Context) (err error) {
	r.progress("starts")
	r.group, err = newCoordinatorGroup(ctx, r.processes, r.options.program("petrelhook-coordinator"), r.coordinatorDataDir, r.options.CoordinatorTick,
		r.workload == AgentPolls)
	if err != nil {
		return err
	}
	r.members, err = startMemberProcesses(r.processes, r.options.program("petrelhookctl"), r.layout.Spans)
	if err != nil {
		return err
	}
	switch r.workload {
	case AgentPolls:
		return r.agentPolls(ctx)
	case Subscriptions:
		return r.subscriptions(ctx)
	case Publishing:
		return r.publish(ctx)
	}
	return r.renewals(ctx)
}

// settleTime is the pause between the last join and the measurement.
const settleTime = time.Second

// window observes all processes before and after a duration. It is an error if the leader changed or a lease was lost meanwhile.
func (r *run) window(ctx context.Context, duration time.Duration) (before, after *observation, err error) {
	r.progress("settles")
	if err := sleep(ctx, settleTime); err != nil {
		return nil, nil, err
	}
	leader := r.group.currentLeader(ctx)
	if before, err = r.observe(ctx); err != nil {
		return nil, nil, err
	}
	r.progress("is measured")
	if err := sleep(ctx, duration); err != nil {
		return nil, nil, err
	}
	if after, err = r.observe(ctx); err != nil {
		return nil, nil, err
	}
	if now := r.group.currentLeader(ctx); leader < 0 || now != leader {
		return nil, nil, fmt.Errorf("coordinator %d led before the window, and %d after it (0: none)", leader+1, now+1)
	}
	r.group.leader = leader
	for _, s := range after.samples {
		if s.LostLeases > 0 {
			return nil, nil, fmt.Errorf("%d leases were lost", s.LostLeases)
		}
	}
	return before, after, nil
}

// state adds points on what the leader stores: entries of the log, bytes of files, and bytes of the replicated state.
func (r *run) state(ctx context.Context, role string, application string) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	s, err := r.group.operator.Status(ctx, r.group.addrs[r.group.leader])
	if err != nil {
		return err
	}
	size, err := dirSize(filepath.Join(r.coordinatorDataDir, fmt.Sprintf("data%d", r.group.leader+1)))
	if err != nil {
		return err
	}
	reply, err := r.group.operator.Call(ctx, fleet.Request{Backup: true})
	if err != nil {
		return err
	}
	bytes := len(reply.Backup)
	if application != "" {
		if reply, err = r.group.operator.Call(ctx, fleet.Request{Changes: &application}); err != nil {
			return err
		}
		bytes += len(reply.Changes)
	}
	r.add(role, "log_entries", float64(s.Log))
	r.add(role, "data_bytes", float64(size))
	r.add(role, "state_bytes", float64(bytes))
	return nil
}
