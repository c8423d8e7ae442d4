package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/coordination/capacity"
	"petrelhook/internal/rig/process"
)

// programs are what the tests run as processes.
var programs = process.NewPrograms("petrelhook-coordinator", "petrelhookctl", "petrelhook-agent", "petrelhook")

func TestMain(m *testing.M) {
	code := m.Run()
	programs.Remove()
	os.Exit(code)
}

func options(t *testing.T) Options {
	t.Helper()
	bin := programs.Dir(t)
	t.Setenv("TMPDIR", t.TempDir())
	return Options{ProgramDir: bin, Workloads: Workloads, Sizes: []int{200}, Runs: 1, Window: 2 * time.Second, Seed: 7,
		MemoryLimitBytes: 4 << 30, Timeout: 2 * time.Minute, Progress: func(what string) { t.Log(what) }, CoordinatorDataDir: process.DataDir(t)}
}

// left are the processes that run a program of the folder, or a release of a run below the test's folder.
func left(bin string) (all []string) {
	links, _ := filepath.Glob("/proc/[0-9]*/exe")
	for _, l := range links {
		if to, err := os.Readlink(l); err == nil && (strings.HasPrefix(to, bin) || strings.HasPrefix(to, os.Getenv("TMPDIR"))) {
			all = append(all, l+" "+to)
		}
	}
	return all
}

// runAll runs the workloads beside one another: their times do not count.
func runAll(t *testing.T, o Options) (all *capacity.Measured, err error) {
	measured, errs := make([]*capacity.Measured, len(o.Workloads)), make([]error, len(o.Workloads))
	var sides sync.WaitGroup
	for i, w := range o.Workloads {
		sides.Go(func() {
			one := o
			one.Workloads = []string{w}
			measured[i], errs[i] = Run(t.Context(), one)
		})
	}
	sides.Wait()
	all = &capacity.Measured{}
	for _, m := range measured {
		if m != nil {
			all.Points = append(all.Points, m.Points...)
			all.Findings = append(all.Findings, m.Findings...)
		}
	}
	return all, errors.Join(errs...)
}

// two hundred hollow members, six real agents with their sidecars, real coordinators: what is counted, whatever the times are. That a rule
// was broken at a real sidecar, or a request lost, is an error of the run.
func TestCounts(t *testing.T) {
	o := options(t)
	o.RealMachines = 6
	m, err := runAll(t, o)
	if err != nil {
		t.Fatal(err, m)
	}
	if now := left(o.ProgramDir); len(now) > 0 {
		t.Errorf("processes are left: %v", now)
	}
	value := map[string]float64{}
	for _, p := range m.Points {
		name := p.Workload + " " + p.Role + " " + p.Metric
		if _, twice := value[name]; twice || p.Size != 200 || p.Run != 1 {
			t.Errorf("%+v", p)
		}
		value[name] = p.Value
	}
	within := func(name string, least, most float64) {
		t.Helper()
		if v, ok := value[name]; !ok || v < least || v > most {
			t.Errorf("%s: %v (%v); %v to %v", name, v, ok, least, most)
		}
	}
	for _, role := range []string{"renewals leader", "renewals follower", "looks driver", "looks follower"} {
		within(role+" cpu_us_s", 1, 8e6)
		within(role+" memory_bytes", 4<<20, 1<<30)
		within(role+" descriptors", 8, 1000)
	}
	// A session renews after a sixth to a third of its TTL of 10 s, and its call takes a while.
	within("renewals member messages_in_s", 0.2, 0.61)
	within("renewals leader connections", 200, 300)
	within("renewals follower connections", 95, 150) // one of the two was asked first
	within("renewals leader log_entries", 400, 440)  // a session and a lease each
	within("looks driver connections", 200, 260)
	within("looks agent messages_in_s", 0.1, 2) // a look a second, or fewer where the machine has no time
	within("looks agent in_force_s", 1e-6, 60)
	// A watch is held for 3.75 to 5 s; the window is two of its means, so that none is counted for chance.
	within("watches member messages_in_s", 0.15, 0.27)
	within("watches member connections", 1, 1.6) // with listeners and the poller's, and a few that report
	within("watches leader log_entries", 1, 30)  // nobody that waits is an entry
	watchers := value["watches leader connections"] + 2*value["watches follower connections"]
	if watchers < 206 || watchers > 326 { // with 60 or so between coordinators
		t.Errorf("%.0f connections at the three coordinators, with 206 watchers", watchers)
	}
	// A real agent asks as often as a hollow one, and as much.
	within("watches agent messages_in_s", 0.15, 0.27)
	for _, way := range []string{"in", "out"} {
		name := " bytes_" + way + "_s"
		real, hollow := value["watches agent"+name]/value["watches agent messages_in_s"], value["watches member"+name]/value["watches member messages_in_s"]
		if real < 0.8*hollow || real > 1.2*hollow {
			t.Errorf("%.0f bytes %s of a call of a real agent, %.0f of a hollow one", real, way, hollow)
		}
	}
	for _, role := range []string{"watches agent", "watches sidecar", "publish agent busy_", "publish sidecar busy_"} {
		if !strings.HasSuffix(role, "_") {
			role += " "
		}
		within(role+"cpu_us_s", 1, 1e6)
		within(role+"memory_bytes", 4<<20, 64<<20)
	}
	for _, prefix := range []string{"", "busy_", "all_", "hand_over_"} {
		within("publish agent "+prefix+"in_force_p50_s", 1e-6, 60)
		within("publish agent "+prefix+"in_force_max_s", value["publish agent "+prefix+"in_force_p99_s"], 60)
	}
	within("publish agent hand_over_in_force_p50_s", 1, 60) // a process starts, and is on trial for 2 s
	within("publish sidecar quiet_calls", 6*10*8*0.7, 6*10*8*1.3)
	within("publish sidecar versions_calls", 6*10*8*0.7, 1e5)
	ask := value["watches member bytes_out_s"] / value["watches member messages_out_s"]
	told := value["watches member bytes_in_s"] / value["watches member messages_in_s"]
	if ask < 100 || ask > 1000 || told < 100 || told > 1000 {
		t.Errorf("a watch has %.0f bytes, its answer without news %.0f", ask, told)
	}
	// The run itself has failed where a member was told anything twice, an older one, another service's, or not the
	// newest; and where the coordinators do not say that all is in force.
	for _, prefix := range []string{"", "busy_", "all_"} {
		within("publish member "+prefix+"in_force_p50_s", 0, 60)
		within("publish member "+prefix+"in_force_max_s", value["publish member "+prefix+"in_force_p99_s"], 60)
	}
	within("publish leader log_entries", 10+10+18+15, 85) // 18 services, and 15 versions or so of the real machines
	within("publish member busy_messages_in_s", 0.15, 3)
	within("publish leader busy_log_entries_s", 1.25, 2) // each 785 ms, and with every fourth one of the real machines
	within("publish tool summary_s", 1e-6, 60)
	within("publish tool accepted_max_s", 1e-6, 20)
	renewals, looks := 200*value["renewals member messages_in_s"], 200*value["looks agent messages_in_s"]
	bytes := func(role, way string) float64 {
		return value[role+" bytes_"+way+"_s"] - value[role+" peer_bytes_"+way+"_s"]
	}
	for name, v := range map[string]float64{
		"in of a renewal": bytes("renewals leader", "in") / renewals, "out of a renewal": bytes("renewals leader", "out") / renewals,
		"in of a look": bytes("looks driver", "in") / looks, "out of a look": bytes("looks driver", "out") / looks,
	} {
		if v < 100 || v > 4000 {
			t.Errorf("%s: %.0f bytes", name, v)
		}
	}
	// What leaves the coordinators comes to the members.
	if out, in := bytes("renewals leader", "out"), 200*value["renewals member bytes_in_s"]; in < 0.99*out || in > 1.2*out+100 {
		t.Errorf("%.0f bytes a second leave the leader and %.0f come to the members", out, in)
	}
	within("renewals follower peer_bytes_in_s", 1000, 1e7)
	var text strings.Builder
	if err := WriteText(&text, m); err != nil || !strings.Contains(text.String(), "renewals, leader:") {
		t.Errorf("%v: %s", err, text.String())
	}
}

// A budget that is passed, a run that is stopped: an error that says why, and no process is left.
func TestBudgets(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"--memory: the processes of the run have": func(o *Options) { o.MemoryLimitBytes = 64 << 20 },
		"--within: 1.5s are over":                 func(o *Options) { o.Timeout = 1500 * time.Millisecond },
	} {
		o := options(t)
		o.Workloads = []string{LeaseRenewals}
		change(&o)
		m, err := Run(t.Context(), o)
		if err == nil || !strings.Contains(err.Error(), want) || len(m.Points) > 0 || len(m.Findings) != 1 {
			t.Errorf("%v, want %s: %+v", err, want, m)
		}
		if now := left(o.ProgramDir); len(now) > 0 {
			t.Errorf("processes are left: %v", now)
		}
	}
	o := options(t)
	o.Workloads, o.Runs = []string{LeaseRenewals}, 2
	ctx, stop := context.WithCancel(t.Context())
	o.Progress = func(what string) {
		if strings.Contains(what, "members join") {
			stop()
		}
	}
	m, err := Run(ctx, o)
	if err == nil || len(m.Findings) != 2 || !strings.HasPrefix(m.Findings[0], "failed: renewals of 200") || !strings.HasPrefix(m.Findings[1], "not run: ") {
		t.Errorf("%v: %+v", err, m)
	}
	if now := left(o.ProgramDir); len(now) > 0 {
		t.Errorf("processes are left: %v", now)
	}
}

// One that is killed leaves no process behind.
func TestKilled(t *testing.T) {
	o := options(t)
	cmd := exec.Command(o.program("petrelhookctl"), "scale", "--sizes", "50", "--check", "0", "--steady", "30s")
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir()) // it leaves its folder
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	members := func() bool {
		return len(left(o.program("petrelhookctl"))) == 2 && len(left(o.program("petrelhook-coordinator"))) == 3
	}
	err := pollUntil(ctx, "its members are there", members)
	cmd.Process.Kill()
	cmd.Wait()
	if err != nil {
		t.Fatal(err)
	}
	if err := pollUntil(ctx, "none is left", func() bool { return len(left(o.ProgramDir)) == 0 }); err != nil {
		t.Error(err)
	}
	for _, l := range left(o.ProgramDir) { // the test's own, which it must not leave either
		var pid int
		fmt.Sscanf(l, "/proc/%d/exe", &pid)
		syscall.Kill(pid, syscall.SIGKILL)
	}
}

// One that is killed leaves no real sidecar behind either: each has a session of its own, and outlives its agent.
func TestKilledBesideRealMachines(t *testing.T) {
	o := options(t)
	cmd := exec.Command(o.program("petrelhookctl"), "scale", "--workloads", Subscriptions, "--sizes", "20", "--check", "0", "--real", "2", "--steady", "30s")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	sidecars := func() (n int) {
		dirs, _ := filepath.Glob(filepath.Join(os.Getenv("TMPDIR"), "petrel-scale-*", machinesDir))
		for _, dir := range dirs {
			n += len(runningSidecars(dir))
		}
		return n
	}
	err := pollUntil(ctx, "its sidecars are there", func() bool { return sidecars() == 2 })
	cmd.Process.Kill()
	cmd.Wait()
	if err != nil {
		t.Fatal(err)
	}
	if err := pollUntil(ctx, "none is left", func() bool { return sidecars() == 0 && len(left(o.ProgramDir)) == 0 }); err != nil {
		t.Error(err)
	}
	for _, l := range left(o.ProgramDir) { // the test's own, which it must not leave either
		var pid int
		fmt.Sscanf(l, "/proc/%d/exe", &pid)
		syscall.Kill(pid, syscall.SIGKILL)
	}
}

// What would not fit fails before anything is started, with the numbers.
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
	o := options(t)
	if l, err := newLayout(Subscriptions, 100, 24, 20_000); err != nil || l.CoordinatorDescriptors != 100+12+48+baseDescriptors {
		t.Errorf("beside real machines: %v, %+v", err, l)
	}
	if _, err := newLayout(Subscriptions, 100, 110, 20_000); err == nil || !strings.Contains(err.Error(), "335 processes; 300 at most") {
		t.Errorf("too many real machines: %v", err)
	}
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

// The same seed draws the same members, each with a name of its own; another one draws others.
func TestDraw(t *testing.T) {
	names := map[string]bool{}
	zones := map[string]int{}
	for i := range 3000 {
		m := drawMember(1, i)
		if m != drawMember(1, i) || m.Name == drawMember(2, i).Name || names[m.Name] {
			t.Fatalf("%d: %+v", i, m)
		}
		names[m.Name] = true
		zones[m.Zone]++
	}
	if len(zones) != 3 || zones["a"] < 800 || zones["b"] < 800 || zones["c"] < 800 {
		t.Error(zones)
	}
}

// A relay, and the system's word of a process's own connections, count what an exchange of HTTP carries, and agree.
func TestCounted(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "yes") }))
	defer server.Close()
	r, err := newRelay(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	own, err := newSockets([]string{r.addr})
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	post := func(n int) {
		for range n {
			res, err := client.Post("http://"+r.addr, "text/plain", strings.NewReader("what?"))
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, res.Body) // the connection is kept where all was read
			res.Body.Close()
		}
	}
	post(1)
	before, err := own.poll()
	first := r.traffic()
	if err != nil || before[r.addr].MessagesIn != 1 || before[r.addr].Open != 1 || first.Open != 1 {
		t.Errorf("%v: %+v, %+v", err, before, first)
	}
	post(9)
	client.CloseIdleConnections()
	post(1) // by another connection: what went by the first stays counted
	after, err := own.poll()
	all := r.traffic()
	if all.MessagesIn != 11 || all.MessagesOut != 11 || all.In != 11*first.In || all.Out != 11*first.Out {
		t.Errorf("%+v, the first %+v", all, first)
	}
	// The nine were not looked at before their connection ended.
	if got := after[r.addr]; err != nil || got.MessagesIn != 2 || got.In != 2*first.In || got.Out != 2*first.Out {
		t.Errorf("%v: %+v, the relay %+v", err, got, all)
	}
}

func TestTable(t *testing.T) {
	m := &capacity.Measured{Machine: "8 processors", Commit: "c", Seed: 3, Findings: []string{"looks of 9: no"}}
	for run, v := range []float64{5_000_000, 1, 1_234_567} {
		m.Points = append(m.Points,
			capacity.Point{Workload: "w", Role: "leader", Metric: "a", Size: 10, Run: run + 1, Value: v},
			capacity.Point{Workload: "w", Role: "member", Metric: "b", Size: 10, Run: run + 1, Value: 0.25},
			capacity.Point{Workload: "w", Role: "leader", Metric: "c", Size: 20, Run: run + 1, Value: 2})
	}
	var b strings.Builder
	if err := WriteText(&b, m); err != nil {
		t.Fatal(err)
	}
	var got []string
	for line := range strings.Lines(b.String()) {
		got = append(got, strings.Join(strings.Fields(line), " "))
	}
	want := []string{"8 processors; c; seed 3", "w, leader: 10 20", "a 1,234,567 -", "c - 2.00", "w, member: 10 20", "b 0.2500 -", "found: looks of 9: no"}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("%q", got)
	}
}
