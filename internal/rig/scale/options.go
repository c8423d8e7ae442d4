package scale

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// The workloads, as --workloads names them.
const (
	LeaseRenewals = "renewals" // sessions of the lease client, each with one lease
	AgentPolls    = "looks"    // a driver that polls the agents of one rolling change, and a change of all of them at once
	Subscriptions = "watches"  // agents that wait for versions of their service's configuration; none is published
	Publishing    = "publish"  // the same, while versions are published
)

// Workloads are all workloads, in the order in which they are run.
var Workloads = []string{LeaseRenewals, AgentPolls, Subscriptions, Publishing}

// Options are the settings of Run.
type Options struct {
	ProgramDir         string   // the folder with petrelhook-coordinator, petrelhook-agent, petrelhook and petrelhookctl
	Workloads          []string // of Workloads
	Sizes              []int    // numbers of members; a fit uses the figures of these
	CheckSize          int      // a larger size that a fit is checked with; 0: none
	Runs               int      // of each workload at each size
	RealMachines       int      // machines with a real agent and sidecar, beside the hollow members of Subscriptions and Publishing
	Window             time.Duration
	Seed               uint64        // the same draws the same members
	MemoryLimitBytes   int64         // that all processes together may have resident
	Timeout            time.Duration // of Run as a whole
	DescriptorLimit    uint64        // descriptors that a process may have; 0: RLIMIT_NOFILE of this process
	Progress           func(string)  // is called with each step, from Run's goroutine; may be nil
	CoordinatorTick    time.Duration // by which coordinators measure their elections; 0: their default
	CoordinatorDataDir string        // where the folder of coordinators' data is made; "": in the run's temporary folder
}

// Bounds of the options, and of what a run may take.
const (
	maxSize            = 20_000
	maxRuns            = 9
	maxMemberProcesses = 16    // processes of hollow members
	membersPerProcess  = 1_000 // until there are maxMemberProcesses
	maxProcesses       = 300
	maxRealMachines    = 64 // this process sends their load and serves it
	spareDescriptors   = 64
)

// Check returns an error that names the flag whose value is invalid.
func (o *Options) Check() error {
	switch {
	case len(o.Workloads) == 0:
		return fmt.Errorf("--workloads: write one of %s", strings.Join(Workloads, ", "))
	case len(o.Sizes) == 0:
		return fmt.Errorf("--sizes: write one at least, such as 250")
	case o.Runs < 1 || o.Runs > maxRuns:
		return fmt.Errorf("--runs: %d; write 1 to %d", o.Runs, maxRuns)
	case o.Window < 500*time.Millisecond || o.Window > time.Minute:
		return fmt.Errorf("--steady: %v; write 500ms to 1m", o.Window)
	case o.RealMachines < 0 || o.RealMachines > maxRealMachines:
		return fmt.Errorf("--real: %d; write 0 to %d", o.RealMachines, maxRealMachines)
	case o.MemoryLimitBytes < 64<<20:
		return fmt.Errorf("--memory: %d bytes; write 64M or more", o.MemoryLimitBytes)
	case o.Timeout <= 0:
		return fmt.Errorf("--within: %v; write a time above 0", o.Timeout)
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
	if most := slices.Max(o.Sizes); o.CheckSize != 0 && (o.CheckSize <= most || o.CheckSize > maxSize) {
		return fmt.Errorf("--check: %d; write a size above those of --sizes (%d), up to %d, or 0 for none",
			o.CheckSize, most, maxSize)
	}
	return nil
}

// sizes are all sizes, ascending; CheckSize is last.
func (o *Options) sizes() []int {
	all := slices.Clone(o.Sizes)
	slices.Sort(all)
	all = slices.Compact(all)
	if o.CheckSize != 0 {
		all = append(all, o.CheckSize)
	}
	return all
}

// program is the path of one of the product's programs.
func (o *Options) program(name string) string { return filepath.Join(o.ProgramDir, name) }

// programs are the names of those that a run starts.
func (o *Options) programs() []string {
	all := []string{"petrelhook-coordinator", "petrelhookctl"}
	if o.RealMachines > 0 {
		all = append(all, "petrelhook-agent", "petrelhook")
	}
	return all
}

// realMachinesOf is the number of real machines in a workload.
func (o *Options) realMachinesOf(workload string) int {
	if workload == Subscriptions || workload == Publishing {
		return o.RealMachines
	}
	return 0
}

// layout is how one run's members are spread over processes, and the descriptors that this takes.
type layout struct {
	Spans                  []span
	CoordinatorDescriptors uint64 // of the coordinator that has most
	MemberDescriptors      uint64 // of the process of hollow members that has most
}

// span is a range of members, by number. It is encoded as JSON in a join.
type span struct{ First, Count int }

// Descriptors of a member, in its own process and in a coordinator's.
const (
	// A session tries one coordinator after the other until it finds the leader, and keeps the connections.
	descriptorsPerSession = coordinators
	// An agent listens, and the driver keeps a connection.
	descriptorsPerAgent = 2
	// A client that renews while it acquires has a second connection; this allows for one client in eight.
	secondConnectionOneIn = 8
	// A subscriber has a second connection while it reports, and keeps one to each coordinator that it left.
	descriptorsPerSubscriber = coordinators + 1
	// A real machine has an agent and, during a hand-over, two processes of its sidecar.
	processesPerRealMachine = 3
	// Descriptors that a process has besides: files, the poller, connections between coordinators.
	baseDescriptors = 48
)

// newLayout spreads members over as few processes as membersPerProcess allows, and over more where the limit of descriptors
// requires it. It is an error if a process would need more descriptors than the limit, or the run too many processes.
func newLayout(workload string, size, realCount int, limit uint64) (layout, error) {
	perMember, coordinatorConnections := uint64(descriptorsPerSession), uint64(size+size/secondConnectionOneIn)
	switch workload {
	case AgentPolls:
		perMember, coordinatorConnections = descriptorsPerAgent, uint64(size)
	case Subscriptions:
		perMember = descriptorsPerSubscriber
	case Publishing: // three in four have both connections: two coordinators were killed, one after the other
		perMember, coordinatorConnections = descriptorsPerSubscriber, uint64(size+size/2)
	}
	available := uint64(0)
	if limit > spareDescriptors+baseDescriptors {
		available = limit - spareDescriptors - baseDescriptors
	}
	processes := (size + membersPerProcess - 1) / membersPerProcess
	for processes < maxMemberProcesses && uint64((size+processes-1)/processes)*perMember > available {
		processes++
	}
	processes = min(processes, maxMemberProcesses, size)
	result := layout{CoordinatorDescriptors: coordinatorConnections + uint64(2*realCount) + baseDescriptors}
	for i := range processes {
		first, next := i*size/processes, (i+1)*size/processes
		result.Spans = append(result.Spans, span{first, next - first})
		result.MemberDescriptors = max(result.MemberDescriptors, uint64(next-first)*perMember+baseDescriptors)
	}
	for _, of := range []struct {
		what string
		need uint64
	}{{"a coordinator", result.CoordinatorDescriptors}, {"a process of hollow members", result.MemberDescriptors}} {
		if of.need+spareDescriptors > limit {
			return result, fmt.Errorf("%s of %d: %s needs %d descriptors and %d are kept spare, %d together, and a process "+
				"may have %d (RLIMIT_NOFILE): write smaller --sizes and --check, or raise the limit before the start",
				workload, size, of.what, of.need, spareDescriptors, of.need+spareDescriptors, limit)
		}
	}
	if all := processes + coordinators + 1 + processesPerRealMachine*realCount; all > maxProcesses {
		return result, fmt.Errorf("%s of %d: %d processes; %d at most", workload, size, all, maxProcesses)
	}
	return result, nil
}

// descriptorLimit is the number of descriptors that a process started from here may have.
func descriptorLimit() (uint64, error) {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0, fmt.Errorf("limit of descriptors: %w", err)
	}
	return l.Cur, nil
}
