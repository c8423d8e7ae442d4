package scale

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// The workloads.
const (
	Renewals = "renewals" // sessions of the lease client, each with one lease
	Looks    = "looks"    // a driver's looks at the agents of one change, and a change of all of them at once
	Watches  = "watches"  // agents that wait for versions of their service's configuration, at rest
	Publish  = "publish"  // the same, with versions on their way
)

// Workloads are all, in the order in which they are run.
var Workloads = []string{Renewals, Looks, Watches, Publish}

// Options are what a scale run is told.
type Options struct {
	Bin       string   // the folder with petrelhook-coordinator, petrelhook-agent, petrelhook and petrelhookctl
	Workloads []string // of Workloads
	Sizes     []int    // members; figures of these are fitted on
	Beyond    int      // a larger size, which a fit is checked with; 0: none
	Runs      int      // of each workload at each size
	Real      int      // machines with a real agent and sidecar, beside the hollow members of watches and publish
	Steady    time.Duration
	Seed      uint64        // the same draws the same members
	Memory    int64         // bytes that all processes together may have resident
	Within    time.Duration // for all of it
	Limit     uint64        // of descriptors of a process; 0: as this process finds it
	Progress  func(string)  // is told what goes on; may be nil
	Kept      string        // where a folder for what coordinators keep is made; "": in the run's own
}

// The bounds.
const (
	maxSize      = 20_000
	maxRuns      = 9
	maxHollow    = 16    // processes of hollow members
	perHollow    = 1_000 // members to a process, until there are maxHollow
	maxProcesses = 300
	maxReal      = 64 // their load is sent, and served, by this process
	spare        = 64
)

// Check says what is wrong with the options, by the name of the flag.
func (o *Options) Check() error {
	switch {
	case len(o.Workloads) == 0:
		return fmt.Errorf("--workloads: write one of %s", strings.Join(Workloads, ", "))
	case len(o.Sizes) == 0:
		return fmt.Errorf("--sizes: write one at least, such as 250")
	case o.Runs < 1 || o.Runs > maxRuns:
		return fmt.Errorf("--runs: %d; write 1 to %d", o.Runs, maxRuns)
	case o.Steady < 500*time.Millisecond || o.Steady > time.Minute:
		return fmt.Errorf("--steady: %v; write 500ms to 1m", o.Steady)
	case o.Real < 0 || o.Real > maxReal:
		return fmt.Errorf("--real: %d; write 0 to %d", o.Real, maxReal)
	case o.Memory < 64<<20:
		return fmt.Errorf("--memory: %d bytes; write 64M or more", o.Memory)
	case o.Within <= 0:
		return fmt.Errorf("--within: %v; write a time above 0", o.Within)
	}
	for _, w := range o.Workloads {
		if !slices.Contains(Workloads, w) {
			return fmt.Errorf("--workloads: %q is none of %s", w, strings.Join(Workloads, ", "))
		}
	}
	for _, n := range o.Sizes {
		if n < 1 || n > maxSize {
			return fmt.Errorf("--sizes: %d; write 1 to %d", n, maxSize)
		}
	}
	if most := slices.Max(o.Sizes); o.Beyond != 0 && (o.Beyond <= most || o.Beyond > maxSize) {
		return fmt.Errorf("--check: %d; write a size above those of --sizes (%d), up to %d, or 0 for none",
			o.Beyond, most, maxSize)
	}
	return nil
}

// sizes are all, the larger one last.
func (o *Options) sizes() []int {
	all := slices.Clone(o.Sizes)
	slices.Sort(all)
	all = slices.Compact(all)
	if o.Beyond != 0 {
		all = append(all, o.Beyond)
	}
	return all
}

// program is the path of one of the product's.
func (o *Options) program(name string) string { return filepath.Join(o.Bin, name) }

// programs are those that a run starts.
func (o *Options) programs() []string {
	all := []string{"petrelhook-coordinator", "petrelhookctl"}
	if o.Real > 0 {
		all = append(all, "petrelhook-agent", "petrelhook")
	}
	return all
}

// real is how many real machines a workload has.
func (o *Options) real(workload string) int {
	if workload == Watches || workload == Publish {
		return o.Real
	}
	return 0
}

// layout is how one run's members are spread, and what that takes of each process.
type layout struct {
	Hollow      []span
	Coordinator uint64 // descriptors of the coordinator that has most
	Member      uint64 // of the process of hollow members that has most
}

// span is some members, by number.
type span struct{ First, Count int }

// Descriptors of a member, in its own process and in a coordinator's.
const (
	// A session asks the coordinators in turn until it has found the leader, and keeps the connections.
	perSession = coordinators
	// An agent listens, and the driver keeps a connection.
	perAgent = 2
	// A client that renews while it acquires has a second connection. Few do.
	secondOf = 8
	// A watcher has a second connection while it reports, and keeps one to each coordinator that it left.
	perWatcher = coordinators + 1
	// Processes of a real machine: an agent, and two of its sidecar in a hand-over.
	perReal = 3
	// What a process has beside: files, the poller, connections between coordinators.
	beside = 48
)

// newLayout spreads members over as few processes as hold perHollow each, and over more where the limit of
// descriptors wants that.
func newLayout(workload string, size, real int, limit uint64) (layout, error) {
	each, served := uint64(perSession), uint64(size+size/secondOf)
	switch workload {
	case Looks:
		each, served = perAgent, uint64(size)
	case Watches:
		each = perWatcher
	case Publish: // both connections of three in four: two coordinators were killed, one after the other
		each, served = perWatcher, uint64(size+size/2)
	}
	room := uint64(0)
	if limit > spare+beside {
		room = limit - spare - beside
	}
	processes := (size + perHollow - 1) / perHollow
	for processes < maxHollow && uint64((size+processes-1)/processes)*each > room {
		processes++
	}
	processes = min(processes, maxHollow, size)
	l := layout{Coordinator: served + uint64(2*real) + beside}
	for i := range processes {
		first, next := i*size/processes, (i+1)*size/processes
		l.Hollow = append(l.Hollow, span{first, next - first})
		l.Member = max(l.Member, uint64(next-first)*each+beside)
	}
	for _, of := range []struct {
		what string
		need uint64
	}{{"a coordinator", l.Coordinator}, {"a process of hollow members", l.Member}} {
		if of.need+spare > limit {
			return l, fmt.Errorf("%s of %d: %s needs %d descriptors and %d are kept spare, %d together, and a process "+
				"may have %d (RLIMIT_NOFILE): write smaller --sizes and --check, or raise the limit before the start",
				workload, size, of.what, of.need, spare, of.need+spare, limit)
		}
	}
	if all := processes + coordinators + 1 + perReal*real; all > maxProcesses {
		return l, fmt.Errorf("%s of %d: %d processes; %d at most", workload, size, all, maxProcesses)
	}
	return l, nil
}

// descriptors is how many a process that is started from here may have.
func descriptors() (uint64, error) {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0, fmt.Errorf("limit of descriptors: %w", err)
	}
	return l.Cur, nil
}
