package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"petrelhook/internal/common/command"
	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/fleet"
	core "petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/rig/contend"
	"petrelhook/internal/rig/coordinator"
	"petrelhook/internal/rig/process"
	"petrelhook/lease"
)

func newClient(t *testing.T, g *coordinator.Group) *lease.Client { return newClientWithTTL(t, g, ttl) }

// newLongLivedClient returns a client whose session outlives a few elections even on a slow machine.
func newLongLivedClient(t *testing.T, g *coordinator.Group) *lease.Client {
	return newClientWithTTL(t, g, 20*time.Second)
}

func newClientWithTTL(t *testing.T, g *coordinator.Group, ttl time.Duration) *lease.Client {
	t.Helper()
	c, err := lease.New(lease.Options{Addrs: g.Addrs(), Owner: "same", TTL: ttl})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func hold(t *testing.T, c *lease.Client, name string) *lease.Held {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), peertest.EventTimeout)
	defer cancel()
	h, err := c.Hold(ctx, name)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// A holder is suspended between checking its lease and acting, for longer than the lease's TTL, and is resumed after another holder has
// acted. The guard must refuse its older token.
func TestStoppedBetweenCheckAndAct(t *testing.T) {
	t.Parallel()
	g, r := newGroup(t, 1), &contend.Resource{}
	guarded := peertest.NewRaw(t, r.Serve)
	out := &process.Buffer{}
	first := start(t, contend.RolePausedHolder, out, guarded, strings.Join(g.Addrs(), ","))
	peertest.Eventually(t, "the first holder has checked its lease and is suspended", func() bool { return strings.Contains(out.String(), contend.CheckedMessage) && first.State() == "T" })
	other := hold(t, newClient(t, g), "task") // granted once the TTL of the first holder's lease has passed
	if err := r.Guard.Admit(other.Token, func() error { return nil }); err != nil {
		t.Error(err)
	}
	first.Resume()
	peertest.Eventually(t, "the first holder acts", func() bool { return strings.Count(out.String(), "\n") == 2 })
	if !strings.Contains(out.String(), "old") {
		t.Error("the guard admitted the first holder's outdated token")
	}
}

// The leader's process ends when its disk is full, and reports the disk as the cause. The other replicas continue, and the process can be
// restarted once there is space.
func TestDiskFull(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	leader := g.AwaitNewLeader(-1)
	c := g.Members[leader]
	if err := unix.Prlimit(c.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 4096, Max: unix.RLIM_INFINITY}, nil); err != nil {
		t.Fatal(err)
	}
	hold(t, newClient(t, g), "x")
	if err := c.Wait(); err == nil {
		t.Error("the process ended without an error")
	}
	if !strings.Contains(c.Log.String(), "the disk") {
		t.Errorf("%s", c.Log)
	}
	c.Start()
	g.Members[(leader+1)%3].KillAndWait() // the restarted replica is now needed for a majority
	hold(t, newClient(t, g), "y")
}

// Each invalid settings file yields a one-line error with the position of the mistake, and nothing is started or created.
func TestInvalidSettings(t *testing.T) {
	dir := t.TempDir()
	good := "id: 1\ndata: d\nreplicas:\n  - {id: 1, address: 127.0.0.1:7001}\n"
	for want, text := range map[string]string{
		"c.yaml:1:1: id: missing":                                         strings.Replace(good, "id: 1\n", "", 1),
		"c.yaml:2:1: port: unknown field; known are allow_remote":         strings.Replace(good, "data: d", "port: 1", 1),
		"c.yaml:3:1: id: comes twice":                                     strings.Replace(good, "replicas:", "id: 2\nreplicas:", 1),
		`c.yaml:1:5: id: "one"; write a number`:                           strings.Replace(good, "id: 1\n", "id: one\n", 1),
		"c.yaml:5:5: replicas[1].id: 1 is already used in line 4":         good + "  - {id: 1, address: 127.0.0.1:7002}\n",
		"c.yaml:5:5: replicas[1].address: 127.0.0.1:7001 is already used": good + "  - {id: 2, address: 127.0.0.1:7001}\n",
		`c.yaml:4:22: replicas[0].address: "x" is no address`:             strings.Replace(good, "127.0.0.1:7001", "x", 1),
		"replicas[0].address: 10.0.0.1:7001 is not a loopback":            strings.Replace(good, "127.0.0.1", "10.0.0.1", 1),
		"c.yaml:4:3: replicas: id 7 is not in the list":                   strings.Replace(good, "id: 1\n", "id: 7\n", 1),
		"memory_mb: -1 is below 0; write a number of MB":                  good + "memory_mb: -1\n",
		`max_ttl: "1d"; write a time from`:                                good + "max_ttl: 1d\n",
		"c.yaml: line 1: did not find expected":                           "id: [1\n",
		"c.yaml:1:1: write fields":                                        "",
	} {
		path := filepath.Join(dir, "c.yaml")
		os.WriteFile(path, []byte(text), 0o600)
		var out, errs strings.Builder
		if code := run([]string{"--config", path}, &out, &errs); code != command.ExitFailed || !strings.Contains(errs.String(), want) || strings.Count(errs.String(), "\n") != 1 {
			t.Errorf("%d: %q, want %q", code, errs.String(), want)
		}
	}
	if left, _ := os.ReadDir(dir); len(left) != 1 {
		t.Errorf("%v", left)
	}
	path := filepath.Join(dir, "c.yaml")
	os.WriteFile(path, []byte(good+"  - {id: 2, address: 127.0.0.1:7002}\n"), 0o600)
	var out, errs strings.Builder
	if code := run([]string{"--config", path, "--check"}, &out, &errs); code != 0 || !strings.Contains(errs.String(), "2 tolerate no more failures than 1") {
		t.Errorf("%d: %q %q", code, out.String(), errs.String())
	}
	if code := run(nil, &out, &errs); code != command.ExitUsage {
		t.Errorf("%d", code)
	}
}

// The leader is suspended for 10 s and resumed with a renewal in its queue. It must not renew a session that has ended meanwhile, and the
// next holder must keep the lease throughout.
func TestALeaderThatIsStoppedForTenSeconds(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.AwaitNewLeader(-1)
	response, err := g.Call(fleet.Request{Command: &core.Command{Kind: core.Open, Nonce: "12345678", Owner: "o", TTL: ttl}})
	if err != nil {
		t.Fatal(err)
	}
	session := response.Answer.Session
	if _, err := g.Call(fleet.Request{Command: &core.Command{Kind: core.Acquire, Session: session, Seq: 1, Name: "task"}}); err != nil {
		t.Fatal(err)
	}
	leader := g.AwaitNewLeader(-1) // a busy machine may have none for a moment
	g.Members[leader].Pause()
	next := hold(t, newLongLivedClient(t, g), "task")
	<-time.After(10 * time.Second)
	renewed := make(chan *fleet.Response, 1)
	go func() { // the request waits in the leader's queue until the leader is resumed
		response, _ := call(t.Context(), g.ClientLinks[leader].Addr, fleet.Request{Version: fleet.Version, KeepAlive: &replica.KeepAlive{Session: session}})
		renewed <- response
	}()
	g.Members[leader].Resume()
	if response := peertest.Wait(t, renewed); response != nil && response.SessionAlive {
		t.Error("the resumed leader renewed a session that had ended")
	}
	if !next.Valid() {
		t.Error("the next holder has lost the lease")
	}
}
