package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"petrelhook/internal/coordination/capacity"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/rig/usage"
)

// Run does all runs. What was measured until an error is returned with it; Findings say what was not.
func Run(ctx context.Context, o Options) (m *capacity.Measured, err error) {
	limit, err := o.prepare()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, release := context.WithTimeoutCause(ctx, o.Within, fmt.Errorf("--within: %v are over", o.Within))
	defer release()
	s := &series{o: &o, limit: limit, measured: &capacity.Measured{At: time.Now().UTC().Truncate(time.Second), Commit: commit(), Machine: machineWords(),
		Seed: o.Seed, FitUpTo: slices.Max(o.Sizes)}}
	for _, w := range o.Workloads {
		for _, n := range o.sizes() {
			s.runSize(ctx, w, n)
		}
	}
	s.measured.Findings = append(s.measured.Findings, compared(s.measured.Points)...)
	first := s.first
	if first == nil && ctx.Err() != nil {
		first = context.Cause(ctx)
	}
	if s.failed > 1 {
		first = fmt.Errorf("%w (and %d more runs have failed: see what was found)", first, s.failed-1)
	}
	return s.measured, first
}

// prepare checks, before anything is started, that all runs can be made. It returns the limit on descriptors.
func (o *Options) prepare() (limit uint64, err error) {
	if err := o.Check(); err != nil {
		return 0, err
	}
	limit = o.Limit
	if limit == 0 {
		if limit, err = descriptors(); err != nil {
			return 0, err
		}
	}
	for _, w := range o.Workloads {
		for _, n := range o.sizes() {
			if _, err := newLayout(w, n, o.real(w), limit); err != nil {
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

// series is all runs of one Run, and what came of them so far.
type series struct {
	o        *Options
	limit    uint64 // of descriptors
	measured *capacity.Measured
	first    error // of the runs that failed
	failed   int
}

// runSize does the runs of a workload at a size.
func (s *series) runSize(ctx context.Context, workload string, size int) {
	m := s.measured
	for number := 1; number <= s.o.Runs; number++ {
		what := fmt.Sprintf("%s of %d members, run %d of %d", workload, size, number, s.o.Runs)
		if ctx.Err() != nil {
			m.Findings = append(m.Findings, "not run: "+what)
			continue
		}
		r := &run{o: s.o, workload: workload, size: size, number: number, what: what, limit: s.limit}
		err := r.do(ctx)
		m.Points = append(m.Points, r.points...)
		var no refused
		switch {
		case err == nil:
		case errors.As(err, &no): // and it will be the next time
			m.Findings = append(m.Findings, fmt.Sprintf("%s of %d members: %v", workload, size, no.error))
			return
		default:
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			}
			if s.failed++; s.first == nil {
				s.first = fmt.Errorf("%s: %w", what, err)
			}
			m.Findings = append(m.Findings, fmt.Sprintf("failed: %s: %v", what, err))
		}
	}
}

// refused is an error that says what the product does not do.
type refused struct{ error }

// run is one life of a fleet.
type run struct {
	o        *Options
	workload string
	size     int
	number   int
	what     string
	limit    uint64
	points   []capacity.Point

	layout layout
	dir    string
	kept   string // what coordinators keep
	family *family
	group  *group
	crew   *crew

	machines *machines // nil: there are none
	serving  *serving
	failed   context.CancelCauseFunc
}

func (r *run) progress(doing string) {
	if r.o.Progress != nil {
		r.o.Progress(r.what + ": " + doing)
	}
}

func (r *run) add(role, metric string, value float64) {
	r.points = append(r.points, capacity.Point{Workload: r.workload, Role: role, Metric: metric, Size: r.size,
		Run: r.number, Value: value})
}

// do does the run. When it returns, nothing of it is left.
func (r *run) do(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if r.layout, err = newLayout(r.workload, r.size, r.o.real(r.workload), r.limit); err != nil {
		return err
	}
	if r.dir, err = os.MkdirTemp("", "petrel-scale-"); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(r.dir)) }()
	if r.kept = r.dir; r.o.Kept != "" {
		if r.kept, err = os.MkdirTemp(r.o.Kept, "kept-"); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(r.kept)) }()
	}
	r.family, r.failed = newFamily(r.dir, cancel), cancel
	watched := make(chan struct{})
	go func() { defer close(watched); watchMemory(ctx, r.pids, r.o.Memory, cancel) }()
	defer func() {
		if cause := context.Cause(ctx); err != nil && cause != nil { // it says why: the others only follow
			err = cause
		}
		cancel(nil)
		<-watched
		if r.serving != nil { // a run that went well has stopped it
			_ = r.serving.stop()
		}
		if r.crew != nil {
			r.crew.close()
		}
		r.family.close()
		if r.machines != nil {
			err = errors.Join(err, r.machines.close())
		}
		if r.group != nil {
			r.group.close()
		}
		if err != nil { // not all of it was
			r.points = nil
		}
	}()
	r.progress("starts")
	r.group, err = newGroup(ctx, r.family, r.o.program("petrelhook-coordinator"), r.kept, r.workload == Looks)
	if err != nil {
		return err
	}
	r.crew, err = newCrew(r.family, r.o.program("petrelhookctl"), r.layout.Hollow)
	if err != nil {
		return err
	}
	switch r.workload {
	case Looks:
		return r.looks(ctx)
	case Watches:
		return r.watches(ctx)
	case Publish:
		return r.publish(ctx)
	}
	return r.renewals(ctx)
}

// settle is for how long a fleet is left alone that has just joined.
const settle = time.Second

// window measures for a while, and says what has gone on between its ends.
func (r *run) window(ctx context.Context, long time.Duration) (before, after *seen, err error) {
	r.progress("settles")
	if err := wait(ctx, settle); err != nil {
		return nil, nil, err
	}
	leader := r.group.leads(ctx)
	if before, err = r.see(ctx); err != nil {
		return nil, nil, err
	}
	r.progress("is measured")
	if err := wait(ctx, long); err != nil {
		return nil, nil, err
	}
	if after, err = r.see(ctx); err != nil {
		return nil, nil, err
	}
	if now := r.group.leads(ctx); leader < 0 || now != leader {
		return nil, nil, fmt.Errorf("coordinator %d led before the window, and %d after it (0: none)", leader+1, now+1)
	}
	r.group.leader = leader
	for _, s := range after.samples {
		if s.Lost > 0 {
			return nil, nil, fmt.Errorf("%d leases were lost", s.Lost)
		}
	}
	return before, after, nil
}

// state adds what is kept of the coordinators: entries of the log, files, and the bytes of the state that the log
// makes.
func (r *run) state(ctx context.Context, role string, application string) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	s, err := r.group.operator.Status(ctx, r.group.addrs[r.group.leader])
	if err != nil {
		return err
	}
	size, err := sizeOf(filepath.Join(r.kept, fmt.Sprintf("data%d", r.group.leader+1)))
	if err != nil {
		return err
	}
	told, err := r.group.operator.Call(ctx, fleet.Request{Backup: true})
	if err != nil {
		return err
	}
	bytes := len(told.Backup)
	if application != "" {
		if told, err = r.group.operator.Call(ctx, fleet.Request{Changes: &application}); err != nil {
			return err
		}
		bytes += len(told.Changes)
	}
	r.add(role, "log_entries", float64(s.Log))
	r.add(role, "data_bytes", float64(size))
	r.add(role, "state_bytes", float64(bytes))
	return nil
}

// pids are those of the run's processes, sidecars that agents have started among them.
func (r *run) pids() []int {
	all := r.family.pids()
	if r.o.real(r.workload) > 0 {
		for _, p := range processes(filepath.Join(r.dir, machinesDir)) {
			all = append(all, p.PID)
		}
	}
	return all
}

// wait is for how long something is watched.
func wait(ctx context.Context, long time.Duration) error {
	t := time.NewTimer(long)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-t.C:
		return nil
	}
}

// watchMemory ends the run where its processes have more resident than the budget.
func watchMemory(ctx context.Context, pids func() []int, budget int64, over context.CancelCauseFunc) {
	const every = 100 * time.Millisecond
	look := time.NewTicker(every)
	defer look.Stop()
	for {
		sum := int64(0)
		for _, pid := range append(pids(), os.Getpid()) {
			if n, err := usage.Resident(pid); err == nil { // one that has ended meanwhile has none
				sum += n
			}
		}
		if sum > budget {
			over(fmt.Errorf("--memory: the processes of the run have %d MiB resident, over the budget of %d MiB",
				sum>>20, budget>>20))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		}
	}
}

// commit is that of which this program was built, as the tool chain notes it.
func commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	name, changed := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			name = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = ", changed"
		}
	}
	return name + changed
}

func machineWords() string {
	memory, _ := usage.Memory()
	return fmt.Sprintf("%d processors, %.1f GiB of memory, %s/%s", runtime.NumCPU(), float64(memory)/(1<<30),
		runtime.GOOS, runtime.GOARCH)
}
