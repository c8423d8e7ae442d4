package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"petrelhook/internal/coordination/capacity"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/rig/provenance"
	"petrelhook/internal/rig/usage"
)

// Run does all runs. On an error it returns what was measured until then as well; Findings name the runs that failed or were
// not done.
func Run(ctx context.Context, o Options) (m *capacity.Measured, err error) {
	limit, err := o.prepare()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, release := context.WithTimeoutCause(ctx, o.Timeout, fmt.Errorf("--within: %v are over", o.Timeout))
	defer release()
	s := &series{options: &o, limit: limit, measured: &capacity.Measured{
		At: time.Now().UTC().Truncate(time.Second), Commit: provenance.Revision(), Machine: provenance.Machine(),
		Seed: o.Seed, FitUpTo: slices.Max(o.Sizes)}}
	for _, w := range o.Workloads {
		for _, n := range o.sizes() {
			s.runSize(ctx, w, n)
		}
	}
	s.measured.Findings = append(s.measured.Findings, compareCosts(s.measured.Points)...)
	first := s.firstError
	if first == nil && ctx.Err() != nil {
		first = context.Cause(ctx)
	}
	if s.failed > 1 {
		first = fmt.Errorf("%w (and %d more runs have failed: see what was found)", first, s.failed-1)
	}
	return s.measured, first
}

// prepare checks, before anything is started, that all runs are possible. It returns the limit of descriptors.
func (o *Options) prepare() (limit uint64, err error) {
	if err := o.Check(); err != nil {
		return 0, err
	}
	limit = o.DescriptorLimit
	if limit == 0 {
		if limit, err = descriptorLimit(); err != nil {
			return 0, err
		}
	}
	for _, w := range o.Workloads {
		for _, n := range o.sizes() {
			if _, err := newLayout(w, n, o.realMachinesOf(w), limit); err != nil {
				return 0, err
			}
		}
	}
	for _, name := range o.programs() {
		if info, err := os.Stat(o.program(name)); err != nil || info.IsDir() {
			return 0, fmt.Errorf("--bin: there is no %s; build it (go build -o bin/ ./cmd/...) or write another folder",
				o.program(name))
		}
	}
	return limit, nil
}

// series is all runs of one Run, with their results so far.
type series struct {
	options    *Options
	limit      uint64 // of descriptors
	measured   *capacity.Measured
	firstError error // of the first run that failed; nil: none has
	failed     int
}

// runSize does the runs of a workload at one size, and records their points and findings.
func (s *series) runSize(ctx context.Context, workload string, size int) {
	m := s.measured
	for number := 1; number <= s.options.Runs; number++ {
		what := fmt.Sprintf("%s of %d members, run %d of %d", workload, size, number, s.options.Runs)
		if ctx.Err() != nil {
			m.Findings = append(m.Findings, "not run: "+what)
			continue
		}
		r := &run{options: s.options, workload: workload, size: size, number: number, description: what, limit: s.limit}
		err := r.execute(ctx)
		m.Points = append(m.Points, r.points...)
		var no rejection
		switch {
		case err == nil:
		case errors.As(err, &no): // the next run would be rejected too
			m.Findings = append(m.Findings, fmt.Sprintf("%s of %d members: %v", workload, size, no.error))
			return
		default:
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			}
			if s.failed++; s.firstError == nil {
				s.firstError = fmt.Errorf("%s: %w", what, err)
			}
			m.Findings = append(m.Findings, fmt.Sprintf("failed: %s: %v", what, err))
		}
	}
}

// rejection is an error that the product answers by design, such as a limit of its own: a finding, not a failed run.
type rejection struct{ error }

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
	coordinatorDataDir string // what coordinators keep
	processes          *processGroup
	group              *coordinatorGroup
	members            *memberProcesses

	machines *realMachines // nil: the workload has none, or they have not started
	serving  *serving
	fail     context.CancelCauseFunc
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
		if r.serving != nil { // a run that succeeded has stopped it already
			_ = r.serving.stop()
		}
		if r.members != nil {
			r.members.close()
		}
		r.processes.close()
		if r.machines != nil {
			err = errors.Join(err, r.machines.close())
		}
		if r.group != nil {
			r.group.close()
		}
		if err != nil { // the points are incomplete
			r.points = nil
		}
	}()
	return r.startAndMeasure(ctx)
}

// startAndMeasure starts the coordinators and the processes of members, and runs the workload.
func (r *run) startAndMeasure(ctx context.Context) (err error) {
	r.progress("starts")
	r.group, err = newCoordinatorGroup(ctx, r.processes, r.options.program("petrelhook-coordinator"), r.coordinatorDataDir, r.workload == AgentPolls)
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

// sleep returns after a duration, or with the cause when ctx ends.
func sleep(ctx context.Context, duration time.Duration) error {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-t.C:
		return nil
	}
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
