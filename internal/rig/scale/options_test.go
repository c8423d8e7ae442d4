package scale

import (
	"strings"
	"testing"
	"time"
)

// A run that does not fit into the limit of descriptors or of processes fails before anything is started, with the numbers.
func TestDescriptors(t *testing.T) {
	for _, c := range []struct {
		workload  string
		size      int
		limit     uint64
		processes int
		want      string
	}{
		{LeaseRenewals, 250, 20_000, 1, ""},
		{LeaseRenewals, 12_000, 20_000, 12, ""},
		{AgentPolls, 12_000, 20_000, 12, ""},
		{AgentPolls, 12_000, 12_112, 12, ""},
		{AgentPolls, 12_000, 12_111, 12, "looks of 12000: a coordinator needs 12048 descriptors and 64 are kept spare, 12112 together, and a process may have 12111"},
		{LeaseRenewals, 800, 1024, 3, ""},
		{LeaseRenewals, 4000, 1024, 0, "renewals of 4000: a coordinator needs 4548"},
		{Subscriptions, 12_000, 20_000, 12, ""},
		{Publishing, 12_000, 20_000, 12, ""},
		{Publishing, 12_000, 18_111, 12, "publish of 12000: a coordinator needs 18048"},
		{AgentPolls, 1, 100, 0, "a coordinator needs 49"},
	} {
		l, err := newLayout(c.workload, c.size, 0, c.limit)
		if c.want != "" {
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%s %d: %v", c.workload, c.size, err)
			}
			continue
		}
		next := 0
		for _, s := range l.Spans {
			if s.First != next || s.Count < 1 {
				t.Errorf("%s %d: %v", c.workload, c.size, l.Spans)
			}
			next += s.Count
		}
		if err != nil || len(l.Spans) != c.processes || next != c.size || l.MemberDescriptors+spareDescriptors > c.limit {
			t.Errorf("%s %d: %v, %+v", c.workload, c.size, err, l)
		}
	}
}

func TestDescriptorsBesideRealMachines(t *testing.T) {
	if l, err := newLayout(Subscriptions, 100, 24, 20_000); err != nil || l.CoordinatorDescriptors != 100+12+48+baseDescriptors {
		t.Errorf("beside real machines: %v, %+v", err, l)
	}
	if _, err := newLayout(Subscriptions, 100, 110, 20_000); err == nil || !strings.Contains(err.Error(), "335 processes; 300 at most") {
		t.Errorf("too many real machines: %v", err)
	}
}

func TestRunThatDoesNotFitStartsNothing(t *testing.T) {
	o := options(t)
	o.DescriptorLimit, o.Sizes = 1024, []int{100, 2000}
	o.Progress = func(what string) { t.Error("begun: " + what) }
	if m, err := Run(t.Context(), o); m != nil || err == nil || !strings.Contains(err.Error(), "renewals of 2000") {
		t.Errorf("%v, %v", m, err)
	}
}

func TestBadOptions(t *testing.T) {
	good := Options{Workloads: Workloads, Sizes: []int{10}, Runs: 1, Window: time.Second, MemoryLimitBytes: 1 << 30, Timeout: time.Minute}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for want, change := range map[string]func(*Options){
		"--workloads: write one":             func(o *Options) { o.Workloads = nil },
		`--workloads: "sleep" is none of`:    func(o *Options) { o.Workloads = []string{"sleep"} },
		"--sizes: write one":                 func(o *Options) { o.Sizes = nil },
		"--sizes: 0":                         func(o *Options) { o.Sizes = []int{5, 0} },
		"--sizes: 20001":                     func(o *Options) { o.Sizes = []int{20_001} },
		"--check: 10; write a size above":    func(o *Options) { o.CheckSize = 10 },
		"--runs: 0":                          func(o *Options) { o.Runs = 0 },
		"--real: 65; write 0 to 64":          func(o *Options) { o.RealMachines = 65 },
		"--real: -1":                         func(o *Options) { o.RealMachines = -1 },
		"--steady: 1ms":                      func(o *Options) { o.Window = time.Millisecond },
		"--memory: 1 bytes; write 64M":       func(o *Options) { o.MemoryLimitBytes = 1 },
		"--within: 0s; write a time above 0": func(o *Options) { o.Timeout = 0 },
	} {
		o := good
		change(&o)
		if err := o.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}
