package machine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	signals "os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/release"
)

const fakeVariable = "MACHINE_TEST_FAKE"

// runFakeProgram is the program of a fake release: it checks settings, serves the operators' endpoint and reloads its settings
// file. The fields bad, dies and never in the settings make it reject them, exit at the start, or never become ready,
// respectively.
func runFakeProgram(args []string) {
	path := args[len(args)-1]
	read := func() (text []byte, fields map[string]any) {
		text, err := os.ReadFile(path)
		if err == nil {
			err = json.Unmarshal(text, &fields)
		}
		if err != nil {
			panic(err)
		}
		return text, fields
	}
	text, fields := read()
	if args[0] == "--check" {
		if fields["bad"] != nil {
			line := 1 + strings.Count(string(text[:strings.Index(string(text), `"bad"`)]), "\n")
			fmt.Printf("fake: %s:%d:2: bad: is there; leave it out\n", path, line)
			os.Exit(1)
		}
		if fields["one"] != nil && fields["other"] != nil {
			fmt.Println("fake: one and other are no pair")
			os.Exit(1)
		}
		os.Exit(0)
	}
	if fields["dies"] != nil {
		os.Exit(1)
	}
	hup := make(chan os.Signal, 1)
	signals.Notify(hup, syscall.SIGHUP)
	var counts atomic.Value
	counts.Store(fmt.Sprintf(`{"classes": [], "file": {"digest": %q}}`, distribute.Digest(text)))
	go func() {
		for range hup {
			text, _ := read()
			counts.Store(fmt.Sprintf(`{"classes": [], "file": {"digest": %q, "reloads": 1}}`, distribute.Digest(text)))
		}
	}()
	http.HandleFunc("/api/ready", func(w http.ResponseWriter, _ *http.Request) {
		if fields["never"] != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	http.HandleFunc("/api/counts", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, counts.Load()) })
	fmt.Fprintln(os.Stderr, http.ListenAndServe(os.Getenv("LB_ADMIN_ADDR"), nil))
	os.Exit(1)
}

// fakeSubscription lets a test deliver versions, and records the reports of the machine.
type fakeSubscription struct {
	newest distribute.Revision
	accept func(distribute.Version) error

	mu      sync.Mutex
	reports []distribute.Report
}

func (s *fakeSubscription) Run(ctx context.Context) { <-ctx.Done() }

func (s *fakeSubscription) Report(report distribute.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, report)
}

func (s *fakeSubscription) last() distribute.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports[len(s.reports)-1]
}

// testAgent is the agent of a machine with one sidecar, n0. Tests can stop and restart it.
type testAgent struct {
	*fakeSubscription
	t       *testing.T
	config  *Config
	machine *Machine
	stop    func()
}

func newTestAgent(t *testing.T) *testAgent {
	dir := t.TempDir()
	store, err := release.NewStore(filepath.Join(dir, "releases"))
	if err != nil {
		t.Fatal(err)
	}
	program := fmt.Sprintf("#!/bin/sh\n%s=1 exec %q \"$@\"\n", fakeVariable, os.Args[0])
	r, err := store.Add(strings.NewReader(program), strings.NewReader(`{"discovery": "a", "settings": {"x": 1}, "third": 1}`))
	if err != nil {
		t.Fatal(err)
	}
	c := &Config{Application: "app", Data: filepath.Join(dir, "data"), Releases: filepath.Join(dir, "releases"), Release: string(r.ID),
		PollInterval: 20 * time.Millisecond, ContactTimeout: time.Hour, Sidecars: []SidecarConfig{{Name: "n0", Listen: "127.0.0.1:1",
			AdminAddresses: [2]string{peertest.ReserveAddr(t), peertest.ReserveAddr(t)}, Overrides: map[string]json.RawMessage{"settings.mine": []byte("7")}}},
		Limits: agent.Limits{ReadyTimeout: 5 * time.Second, TrialPeriod: 100 * time.Millisecond, TerminationTimeout: 2 * time.Second, IsolationTimeout: time.Hour, InitialBackoff: 10 * time.Millisecond, MaxBackoff: time.Second}}
	g := &testAgent{t: t, config: c}
	g.start()
	t.Cleanup(func() {
		g.stop()
		for _, p := range []*agent.Process{g.persisted().Serving, g.persisted().Next} {
			if p != nil && IsRunning(*p) {
				syscall.Kill(p.PID, syscall.SIGKILL)
			}
		}
	})
	peertest.Eventually(t, "the sidecar serves", func() bool { return g.persisted().Serving != nil && g.servedSettings() != nil })
	return g
}

// start starts the agent with the data folder in its present state.
func (g *testAgent) start() {
	g.t.Helper()
	m, err := open(g.config, slog.New(slog.DiscardHandler), func(newestRevision distribute.Revision, acceptVersion func(distribute.Version) error) versionSubscription {
		g.fakeSubscription = &fakeSubscription{newest: newestRevision, accept: acceptVersion}
		return g.fakeSubscription
	})
	if err != nil {
		g.t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx, ln) }()
	g.machine, g.stop = m, sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			g.t.Error(err)
		}
	})
}

// persisted returns the state of the sidecar on the disk.
func (g *testAgent) persisted() (state agent.PersistedState) {
	text, _ := os.ReadFile(filepath.Join(g.config.Data, "sidecar-n0.json"))
	json.Unmarshal(text, &state)
	return state
}

// servedSettings returns the fields of the settings file of the serving process, nil if no process answers.
func (g *testAgent) servedSettings() map[string]any {
	state := g.persisted()
	if state.Serving == nil {
		return nil
	}
	if _, ok := g.machine.adminGet(g.t.Context(), state.Serving.AdminAddress, "/api/counts"); !ok {
		return nil
	}
	text, _ := os.ReadFile(filepath.Join(g.config.Data, fmt.Sprintf("config-n0-%d", state.Serving.StartNumber)))
	var fields map[string]any
	json.Unmarshal(text, &fields)
	return fields
}

func version(r distribute.Revision, content string) distribute.Version {
	text, err := distribute.Canonical([]byte(content))
	if err != nil {
		panic(err)
	}
	return distribute.Version{Service: "app", Revision: r, Digest: distribute.Digest(text), Content: text}
}

// publish delivers a version and waits until it is in force or rejected.
func (g *testAgent) publish(r distribute.Revision, content string) distribute.Report {
	g.t.Helper()
	if err := g.accept(version(r, content)); err != nil {
		g.t.Fatal(err)
	}
	if _, err := os.Stat(g.machine.versionFile(r)); err != nil {
		g.t.Errorf("the version was accepted but is not on the disk: %v", err)
	}
	peertest.Eventually(g.t, "the version is in force or rejected", func() bool {
		last := g.last()
		return last.InForce >= r || last.Refused >= r
	})
	return g.last()
}

// Versions are applied by a reload or by a new process, or rejected by the program, whose error names a line of an existing file.
// The revisions in force and rejected survive a restart of the agent, and a process that exits is restarted with the version in
// force.
func TestVersionsOnAMachine(t *testing.T) {
	g := newTestAgent(t)
	first := g.persisted().Serving.PID
	if r := g.publish(3, `{"discovery": "b"}`); r != (distribute.Report{Sidecar: "n0", InForce: 3}) {
		t.Errorf("%+v", r)
	}
	if f := g.servedSettings(); f["discovery"] != "b" || f["third"] != 1.0 || f["name"] != "n0" || g.persisted().Serving.PID != first {
		t.Errorf("%v, process %d after %d", f, g.persisted().Serving.PID, first)
	}
	if r := g.publish(5, `{"discovery": "b", "settings": {"y": 2}}`); r != (distribute.Report{Sidecar: "n0", InForce: 5}) {
		t.Errorf("%+v", r)
	}
	peertest.Eventually(t, "the old process exits", func() bool { state := g.persisted(); return state.Phase == agent.Idle && state.Serving.PID != first })
	if f := g.servedSettings(); fmt.Sprint(f["settings"]) != "map[mine:7 y:2]" {
		t.Errorf("%v", f)
	}

	r := g.publish(6, `{"bad": 1, "discovery": "c"}`)
	file, place, _ := strings.Cut(strings.TrimPrefix(r.Reason, "fake: "), ":")
	lines, _ := os.ReadFile(file)
	if r.InForce != 5 || r.Refused != 6 || place != "2:2: bad: is there; leave it out" || !strings.Contains(strings.Split(string(lines), "\n")[1], `"bad"`) {
		t.Errorf("%+v in %s", r, lines)
	}
	if r := g.publish(7, `{"never": 1}`); r.InForce != 5 || r.Refused != 7 || r.Reason != "not ready in 5s" {
		t.Errorf("%+v", r)
	}
	for _, v := range []distribute.Version{version(5, `{"x": 1}`), version(7, `{"x": 1}`), {Service: "other", Revision: 9, Content: []byte("{}"), Digest: distribute.Digest([]byte("{}"))},
		{Service: "app", Revision: 9, Content: []byte("{}"), Digest: distribute.Digest([]byte("[]"))}} {
		if err := g.accept(v); !errors.Is(err, distribute.ErrNotNewer) && !errors.Is(err, distribute.ErrWrongService) && !errors.Is(err, distribute.ErrDigestMismatch) {
			t.Errorf("%+v: %v", v, err)
		}
	}

	g.stop()
	serving := *g.persisted().Serving
	syscall.Kill(serving.PID, syscall.SIGKILL)
	peertest.Eventually(t, "the process exits", func() bool { return !IsRunning(serving) })
	g.start()
	if g.newest != 7 || g.last().InForce != 5 || g.last().Refused != 7 {
		t.Errorf("newest version %d: %+v", g.newest, g.last())
	}
	peertest.Eventually(t, "the sidecar is restarted", func() bool {
		p := g.persisted().Serving
		return p != nil && p.PID != serving.PID && g.servedSettings() != nil
	})
	if f := g.servedSettings(); fmt.Sprint(f["settings"]) != "map[mine:7 y:2]" || f["discovery"] != "b" {
		t.Errorf("%v", f)
	}
	starts := g.persisted().StartCount
	if r := g.publish(8, `{}`); r.InForce != 8 || g.persisted().StartCount != starts+1 { // the rejected version was not tried again
		t.Errorf("%+v, %d starts after %d", r, g.persisted().StartCount, starts)
	}
	peertest.Eventually(t, "old versions are removed", func() bool {
		g.accept(version(g.machine.versions.newest+1, `{"discovery": "d"}`))
		files, _ := filepath.Glob(filepath.Join(g.config.Data, "version-*"))
		return !slices.ContainsFunc(files, func(f string) bool { return strings.Contains(f, "version-5") || strings.Contains(f, "version-7") })
	})
}

// A reload that was not confirmed before the agent stopped is requested again by the next agent. The settings file of the process
// is complete at every moment.
func TestReloadOutlivesTheAgent(t *testing.T) {
	g := newTestAgent(t)
	pid := g.persisted().Serving.PID
	g.publish(1, `{"discovery": "b"}`) // the process has reported a digest
	syscall.Kill(pid, syscall.SIGSTOP)
	if err := g.accept(version(2, `{"discovery": "c"}`)); err != nil {
		t.Fatal(err)
	}
	reloadRequested := func() bool {
		state := g.persisted()
		return state.Candidate == 2 && state.ByReload && state.InForce == 1
	}
	peertest.Eventually(t, "the reload is requested", reloadRequested)
	g.stop()
	g.start()
	if !reloadRequested() || g.newest != 2 {
		t.Errorf("%+v, newest version %d", g.persisted(), g.newest)
	}
	syscall.Kill(pid, syscall.SIGCONT)
	peertest.Eventually(t, "the version is in force", func() bool { return g.last().InForce == 2 })
	if state := g.persisted(); state.Serving.PID != pid || state.StartCount != 1 {
		t.Errorf("%+v", state)
	}
}

// However many versions have failed, the settings file of the serving process is not removed, and the process can reload it. The
// check of another release covers the settings that it would be started with: its own with the version in force.
func TestManyVersionsThatFail(t *testing.T) {
	g := newTestAgent(t)
	pid := g.persisted().Serving.PID
	for r := range distribute.Revision(retainedStarts + 2) {
		if report := g.publish(r+1, fmt.Sprintf(`{"dies": %d}`, r)); report.InForce != 0 || !strings.Contains(report.Reason, "it ended before it was ready") {
			t.Errorf("%+v", report)
		}
	}
	if files, _ := filepath.Glob(filepath.Join(g.config.Data, "config-n0-*")); len(files) > retainedStarts+1 {
		t.Errorf("%d files are left", len(files))
	}
	starts := g.persisted().StartCount
	if r := g.publish(20, `{"discovery": "b"}`); r.InForce != 20 || g.persisted().Serving.PID != pid || g.persisted().StartCount != starts {
		t.Errorf("%+v, process %d after %d", r, g.persisted().Serving.PID, pid)
	}
	g.publish(21, `{"one": 1}`)
	store, err := release.NewStore(g.config.Releases)
	if err != nil {
		t.Fatal(err)
	}
	current, err := store.Open(release.ID(g.config.Release))
	if err != nil {
		t.Fatal(err)
	}
	program, err := os.Open(current.Program)
	if err != nil {
		t.Fatal(err)
	}
	defer program.Close()
	other, err := store.Add(program, strings.NewReader(`{"settings": {}, "other": 1}`))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.machine.handleCheck(t.Context(), &CheckRequest{Version: Version, Release: string(other.ID)}); err == nil || !strings.Contains(err.Error(), "one and other are no pair") {
		t.Errorf("%v", err)
	}
	if _, err := g.machine.handleCheck(t.Context(), &CheckRequest{Version: Version, Release: g.config.Release}); err != nil {
		t.Error(err)
	}
}

// An agent loads the newest undamaged version on the disk and ignores other files. It does not start if the version that a
// sidecar runs with is missing or damaged, or if a version is of another service. Without coordinators no version is applied, and
// the one in force stays.
func TestStoredVersions(t *testing.T) {
	g := newTestAgent(t)
	g.publish(4, `{"discovery": "b"}`)
	g.stop()
	write := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(g.config.Data, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	complete, _ := json.Marshal(version(9, `{"discovery": "c"}`))
	write("version-9.json", string(complete[:len(complete)-3]))
	write("version-8.json", string(complete)) // of another revision
	write("version-6.json", strings.NewReplacer(`"c"`, `"d"`, ":9", ":6").Replace(string(complete)))
	write("version-7.json.new", string(complete))
	write("version-x.json", string(complete))
	g.start()
	if g.newest != 4 {
		t.Errorf("newest version %d", g.newest)
	}
	g.stop()

	write("version-9.json", string(complete))
	m, err := Open(g.config, slog.New(slog.DiscardHandler)) // without coordinators
	if err != nil || m.subscription != nil {
		t.Fatal(err)
	}
	if r := m.sidecars[0].Report("n0"); r.InForce != 4 || r.Reason != "" {
		t.Errorf("%+v", r)
	}
	if actions := m.sidecars[0].Tick(time.Hour); len(actions) != 0 {
		t.Errorf("%+v", actions)
	}
	m.lockFile.Close()

	content, _ := os.ReadFile(filepath.Join(g.config.Data, "version-4.json"))
	for text, want := range map[string]string{string(content[:9]): "version-4.json: missing or damaged, but sidecar n0 runs with this version",
		strings.Replace(string(content), `"app"`, `"else"`, 1): "a version of service else, but this agent runs application app"} {
		write("version-4.json", text)
		if _, err := Open(g.config, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
	write("version-4.json", string(content))
}

// The top-level fields of a version replace those of the release, and the overrides of the sidecar replace both. The case of
// names does not matter.
func TestSettings(t *testing.T) {
	s := &SidecarConfig{Name: "n0", Listen: "127.0.0.1:1", Overrides: map[string]json.RawMessage{"seed": []byte(`"1f"`), "settings.mine": []byte("7")}}
	const release = `{"name": "x", "discovery": "a", "seed": "0", "settings": {"a": 1, "mine": 0}, "n": 12345678901234567890}`
	for version, want := range map[string]string{
		"":                                 `{"discovery":"a","listen":"127.0.0.1:1","n":12345678901234567890,"name":"n0","seed":"1f","settings":{"a":1,"mine":7}}`,
		"{}":                               `{"discovery":"a","listen":"127.0.0.1:1","n":12345678901234567890,"name":"n0","seed":"1f","settings":{"a":1,"mine":7}}`,
		`{"discovery":"b","n":1}`:          `{"discovery":"b","listen":"127.0.0.1:1","n":1,"name":"n0","seed":"1f","settings":{"a":1,"mine":7}}`,
		`{"settings":{"b":2,"mine":9}}`:    `{"discovery":"a","listen":"127.0.0.1:1","n":12345678901234567890,"name":"n0","seed":"1f","settings":{"b":2,"mine":7}}`,
		`{"Settings":{"MINE":9},"Seed":1}`: `{"discovery":"a","listen":"127.0.0.1:1","n":12345678901234567890,"name":"n0","seed":"1f","settings":{"MINE":7}}`,
		`{"settings":{"MINE":9,"Mine":8}}`: `{"discovery":"a","listen":"127.0.0.1:1","n":12345678901234567890,"name":"n0","seed":"1f","settings":{"Mine":7}}`,
		`{"li\u017ften":"x","NAME":"y"}`:   `{"discovery":"a","listen":"127.0.0.1:1","n":12345678901234567890,"name":"n0","seed":"1f","settings":{"a":1,"mine":7}}`,
	} {
		var versionText []byte
		if version != "" {
			versionText = []byte(version)
		}
		if got, err := s.settings([]byte(release), versionText); err != nil || string(got) != want {
			t.Errorf("%s: %v\n got %s\nwant %s", version, err, got, want)
		}
	}
	if _, err := s.settings([]byte(release), []byte(`{"settings": 1}`)); err == nil || !strings.Contains(err.Error(), "set.settings.mine") {
		t.Errorf("%v", err)
	}
}

// Only a change of the discovery field can be applied by a reload.
func TestReloadable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(path, []byte(`{"discovery":"a","settings":{"x":1},"seed":"1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]bool{
		`{"discovery":"a","settings":{"x":1},"seed":"1"}`:             true,
		`{"discovery":"b","settings":{"x":1},"seed":"1"}`:             true,
		`{"settings":{"x":1},"seed":"1"}`:                             true,
		`{"discovery":"b","settings":{"x":2},"seed":"1"}`:             false,
		`{"discovery":"b","settings":{"x":1}}`:                        false,
		`{"discovery":"b","settings":{"x":1},"seed":"1","limits":{}}`: false,
		`{`: false,
	} {
		if reloadable(path, []byte(text)) != want {
			t.Errorf("%s: %v", text, !want)
		}
	}
	if reloadable(path+"x", []byte(`{}`)) {
		t.Error("a process without a settings file counts as reloadable")
	}
}
