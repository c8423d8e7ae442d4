package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
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

func client(t *testing.T, g *coordinator.Group) *lease.Client { return clientFor(t, g, ttl) }

// patient returns a client whose session outlives a few elections, on a slow machine too.
func patient(t *testing.T, g *coordinator.Group) *lease.Client {
	return clientFor(t, g, 20*time.Second)
}

func clientFor(t *testing.T, g *coordinator.Group, ttl time.Duration) *lease.Client {
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

// A holder is stopped between its check and its act, for longer than its lease, and goes on when another one has acted: the guard
// refuses it.
func TestStoppedBetweenCheckAndAct(t *testing.T) {
	g, r := newGroup(t, 1), &contend.Resource{}
	guarded := peertest.NewRaw(t, r.Serve)
	out := &process.Buffer{}
	first := start(t, contend.RolePausedHolder, out, guarded, strings.Join(g.Addrs(), ","))
	peertest.Eventually(t, "it has checked the lease, and is paused", func() bool { return strings.Contains(out.String(), contend.CheckedMessage) && first.State() == "T" })
	other := hold(t, client(t, g), "task") // its TTL has passed
	if err := r.Guard.Admit(other.Token, func() error { return nil }); err != nil {
		t.Error(err)
	}
	first.Resume()
	peertest.Eventually(t, "it acts", func() bool { return strings.Count(out.String(), "\n") == 2 })
	if !strings.Contains(out.String(), "old") {
		t.Error("its act was admitted")
	}
}

// A replica that lost its disk may not come back under its id: it ends and says what to do. Under a new id it is added, learns and
// votes; the lost one is removed. One that was removed and comes back ends too, and disturbs no other.
func TestLostDisk(t *testing.T) {
	g := newGroup(t, 3)
	held := hold(t, patient(t, g), "x")
	peertest.Eventually(t, "all disks are known", func() bool {
		response, err := g.Call(fleet.Request{Backup: true})
		known := 0
		if err == nil {
			for _, m := range response.Members {
				if m.Incarnation != "" {
					known++
				}
			}
		}
		return known == 3
	})
	c := g.Members[(g.Leader()+1)%3]
	c.KillAndWait()
	if err := os.RemoveAll(filepath.Join(g.Dir, fmt.Sprintf("data%d", c.Index+1))); err != nil {
		t.Fatal(err)
	}
	c.Start()
	if err := c.Wait(); err == nil || !strings.Contains(c.Log.String(), "has lost its disk") {
		t.Errorf("%v: %s", err, c.Log)
	}
	if _, err := g.Call(fleet.Request{RemoveMember: uint64(c.Index + 1)}); err != nil {
		t.Fatal(err)
	}
	fourthAddr := join(t, g, c, 4)
	// with it there is a majority without the leader
	leader := g.Leader()
	g.Members[leader].KillAndWait()
	peertest.Eventually(t, "another leads", func() bool { l := g.Leader(); return l >= 0 && l != leader || coordinator.IsLeader(fourthAddr) })
	if !held.Valid() {
		t.Error("a lease that could be renewed was lost")
	}
}

// join starts a further coordinator, which reaches the others by the links of one that is not partitioned, adds it, and waits until it votes.
func join(t *testing.T, g *coordinator.Group, by *coordinator.Member, id uint64) (addr string) {
	t.Helper()
	way := g.NewLink()
	text, _ := os.ReadFile(g.ConfigFile(by.Index))
	joins := strings.Replace(string(text), fmt.Sprintf("id: %d\ndata: data%d", by.Index+1, by.Index+1), fmt.Sprintf("id: %d\njoin: true\ndata: data%d", id, id), 1)
	joins += fmt.Sprintf("  - {id: %d, address: %q}\n", id, way.Addr)
	path := filepath.Join(g.Dir, fmt.Sprintf("c%d.yaml", id))
	os.WriteFile(path, []byte(joins), 0o600)
	addr = g.AwaitServing(start(t, "coordinator", nil, "--config", path))
	way.SetTarget(addr)
	if _, err := g.Call(fleet.Request{AddMember: &replica.Member{ID: id, Addr: way.Addr}}); err != nil {
		t.Fatal(err)
	}
	peertest.Eventually(t, "it votes", func() bool {
		response, err := g.Call(fleet.Request{Backup: true})
		return err == nil && slices.ContainsFunc(response.Members, func(m replica.Member) bool { return m.ID == id && !m.Learner })
	})
	return addr
}

// The leader is removed: it ends, another leads, and it cannot come back. Leases live on.
func TestRemovedLeader(t *testing.T) {
	g := newGroup(t, 3)
	held := hold(t, patient(t, g), "x")
	leader := g.AwaitNewLeader(-1)
	if _, err := g.Call(fleet.Request{RemoveMember: uint64(leader + 1)}); err != nil {
		t.Fatal(err)
	}
	g.AwaitNewLeader(leader)
	was := hold(t, client(t, g), "y").Token
	if g.Members[leader].Wait(); !strings.Contains(g.Members[leader].Log.String(), "not a member of this group") {
		t.Errorf("%s", g.Members[leader].Log)
	}
	g.Members[leader].Start()
	g.Members[leader].Wait()
	if now := hold(t, client(t, g), "z").Token; now != was+1 || !held.Valid() {
		t.Errorf("token %d after %d", now, was)
	}
}

// A disk that is full ends the process, which says so; the others go on, and with free space it comes back.
func TestDiskFull(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.AwaitNewLeader(-1)
	c := g.Members[leader]
	if err := unix.Prlimit(c.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 4096, Max: unix.RLIM_INFINITY}, nil); err != nil {
		t.Fatal(err)
	}
	hold(t, client(t, g), "x")
	if err := c.Wait(); err == nil {
		t.Error("it ended well")
	}
	if !strings.Contains(c.Log.String(), "the disk") {
		t.Errorf("%s", c.Log)
	}
	c.Start()
	g.Members[(leader+1)%3].KillAndWait() // a majority needs it
	hold(t, client(t, g), "y")
}

// A back-up is restored to a new group while a holder of the old one still believes: nothing is granted until that has ended, and
// tokens go on beyond.
func TestRestoredWhileAHolderLives(t *testing.T) {
	g := newGroup(t, 1)
	backup, err := g.Call(fleet.Request{Backup: true})
	if err != nil {
		t.Fatal(err)
	}
	old := hold(t, client(t, g), "x") // after the back-up
	c := g.Members[0]
	c.KillAndWait()
	path := filepath.Join(g.Dir, "backup")
	os.WriteFile(path, backup.Backup, 0o600)
	os.RemoveAll(filepath.Join(g.Dir, "data1"))
	text, _ := os.ReadFile(g.ConfigFile(0))
	os.WriteFile(g.ConfigFile(0), append(text, "max_ttl: 2s\n"...), 0o600)
	cfg, err := fleet.ReadConfig(g.ConfigFile(0))
	if err == nil {
		err = fleet.Restore(cfg, path, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	c.Start()
	peertest.Eventually(t, "it leads", func() bool { return g.Leader() == 0 })
	a, err := g.Call(fleet.Request{Command: &core.Command{Kind: core.Open, Nonce: "another client", Owner: "o", TTL: ttl}})
	if err != nil {
		t.Fatal(err)
	}
	a, err = g.Call(fleet.Request{Command: &core.Command{Kind: core.Acquire, Session: a.Answer.Session, Seq: 1, Name: "x"}})
	if err != nil || a.Answer.Status != core.Embargoed {
		t.Errorf("%v, %+v", err, a)
	}
	next := hold(t, client(t, g), "x")
	if old.Valid() || next.Token <= old.Token {
		t.Errorf("token %d, and %d is believed: %v", next.Token, old.Token, old.Valid())
	}
}

// A waiter is killed just as the lease is granted to it: the next one gets the lease within one TTL.
func TestWaiterDies(t *testing.T) {
	g, r := newGroup(t, 1), &contend.Resource{}
	first := hold(t, client(t, g), "task")
	out := &process.Buffer{}
	waiter := start(t, contend.RoleHolder, out, "w", peertest.NewRaw(t, r.Serve), strings.Join(g.Addrs(), ","))
	name := "task"
	queue := func() int {
		response, err := g.Call(fleet.Request{ListLeases: &name})
		if err != nil || len(response.Leases) == 0 {
			return -1
		}
		return len(response.Leases[0].Queue)
	}
	peertest.Eventually(t, "it waits", func() bool { return queue() == 1 })
	got := make(chan *lease.Held, 1)
	second := client(t, g)
	go func() { h, _ := second.Hold(t.Context(), "task"); got <- h }()
	peertest.Eventually(t, "both wait", func() bool { return queue() == 2 })
	waiter.Pause()
	if err := first.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	waiter.Kill()
	if h := peertest.Wait(t, got); h == nil || time.Since(began) > 3*ttl {
		t.Errorf("%v after %v", h, time.Since(began))
	}
}

// Without a majority there is no grant, and at once a clear error that says when to try again; another version is refused.
func TestNoMajority(t *testing.T) {
	g := newGroup(t, 3)
	held := hold(t, client(t, g), "x")
	for _, c := range g.Members[:2] {
		c.KillAndWait()
	}
	o := fleet.Operator{}
	peertest.Eventually(t, "the last one knows", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		res, err := call(ctx, g.ClientLinks[2].Addr, fleet.Request{Version: fleet.Version, Command: &core.Command{Kind: core.Open, Nonce: "12345678", Owner: "o", TTL: ttl}})
		return err == nil && strings.Contains(res.Err, "majority is out of reach") && res.RetryAfterMs > 0
	})
	peertest.Wait(t, held.Context().Done())
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := call(ctx, g.ClientLinks[2].Addr, fleet.Request{Version: 99}); err == nil || !strings.Contains(err.Error(), "version 99") {
		t.Errorf("%v", err)
	}
	if _, err := o.Status(ctx, g.ClientLinks[2].Addr); err != nil {
		t.Error(err)
	}
}

// Bad settings are one clear error, with its position, and nothing is started.
func TestBadFiles(t *testing.T) {
	dir := t.TempDir()
	good := "id: 1\ndata: d\nreplicas:\n  - {id: 1, address: 127.0.0.1:7001}\n"
	for want, text := range map[string]string{
		"c.yaml:1:1: id: missing":                                 strings.Replace(good, "id: 1\n", "", 1),
		"c.yaml:2:1: port: unknown field; known are allow_remote": strings.Replace(good, "data: d", "port: 1", 1),
		"c.yaml:3:1: id: comes twice":                             strings.Replace(good, "replicas:", "id: 2\nreplicas:", 1),
		`c.yaml:1:5: id: "one"; write a number`:                   strings.Replace(good, "id: 1\n", "id: one\n", 1),
		"c.yaml:5:5: replicas[1].id: 1 is that of line 4":         good + "  - {id: 1, address: 127.0.0.1:7002}\n",
		"c.yaml:5:5: replicas[1].address: 127.0.0.1:7001 is that": good + "  - {id: 2, address: 127.0.0.1:7001}\n",
		`c.yaml:4:22: replicas[0].address: "x" is no address`:     strings.Replace(good, "127.0.0.1:7001", "x", 1),
		"replicas[0].address: 10.0.0.1:7001 is not of loopback":   strings.Replace(good, "127.0.0.1", "10.0.0.1", 1),
		"c.yaml:4:3: replicas: id 7 is not among them":            strings.Replace(good, "id: 1\n", "id: 7\n", 1),
		`max_ttl: "1d"; write a time from`:                        good + "max_ttl: 1d\n",
		"c.yaml: line 1: did not find expected":                   "id: [1\n",
		"c.yaml:1:1: write fields":                                "",
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
	if code := run([]string{"--config", path, "--check"}, &out, &errs); code != 0 || !strings.Contains(errs.String(), "2 bear no more failures than 1") {
		t.Errorf("%d: %q %q", code, out.String(), errs.String())
	}
	if code := run(nil, &out, &errs); code != command.ExitUsage {
		t.Errorf("%d", code)
	}
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	defer ln.Close()
	if code := run([]string{"--data", filepath.Join(dir, "d"), "--listen", ln.Addr().String()}, &out, &errs); code != command.ExitFailed || !strings.Contains(errs.String(), "address already in use") {
		t.Errorf("%d: %q", code, errs.String())
	}
}

// All coordinators are killed at once, right after the response to a grant: the grant is there again, the session lives on, and no token
// is granted twice.
func TestAllKilledAtOnce(t *testing.T) {
	g := newGroup(t, 3)
	c := client(t, g)
	var last lease.Token
	for round := range 3 {
		h := hold(t, c, fmt.Sprint("x", round))
		g.KillAll()
		next := hold(t, client(t, g), fmt.Sprint("y", round))
		if h.Token <= last || next.Token <= h.Token {
			t.Errorf("tokens %d, %d, %d", last, h.Token, next.Token)
		}
		last = next.Token
	}
}

// The leader is partitioned from the others, not from clients: a change that it is asked for does not happen, and it says that the outcome
// is unknown; the others go on and remove it. When the partition ends it ends.
func TestChangesWhileTheLeaderIsPartitioned(t *testing.T) {
	g := newGroup(t, 3)
	held := hold(t, patient(t, g), "x")
	leader := g.AwaitNewLeader(-1)
	c := g.Members[leader]
	c.Partition(true, true, true)
	other := (leader + 1) % 3
	ctx, cancel := context.WithTimeout(t.Context(), peertest.EventTimeout)
	defer cancel()
	response, err := call(ctx, g.ClientLinks[leader].Addr, fleet.Request{Version: fleet.Version, RemoveMember: uint64(other + 1)})
	if err != nil || !response.OutcomeUnknown {
		t.Errorf("%v, %+v", err, response)
	}
	g.AwaitNewLeader(leader)
	join(t, g, g.Members[other], 4) // by the two that reach one another
	if _, err := g.Call(fleet.Request{RemoveMember: uint64(leader + 1)}); err != nil {
		t.Fatal(err)
	}
	c.Partition(false, true, true)
	c.Wait()
	response, err = g.Call(fleet.Request{Backup: true})
	if err != nil || len(response.Members) != 3 || !held.Valid() {
		t.Errorf("%v, %+v, valid %v", err, response, held.Valid())
	}
}

// The leader is stopped for 10 s, and goes on as if nothing had happened: it renews no session that has ended meanwhile, and the next
// holder keeps the lease all the time.
func TestALeaderThatIsStoppedForTenSeconds(t *testing.T) {
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
	leader := g.Leader()
	g.Members[leader].Pause()
	next := hold(t, patient(t, g), "task")
	<-time.After(10 * time.Second)
	renewed := make(chan *fleet.Response, 1)
	go func() { // the request is in its queue when it goes on
		response, _ := call(t.Context(), g.ClientLinks[leader].Addr, fleet.Request{Version: fleet.Version, KeepAlive: &replica.KeepAlive{Session: session}})
		renewed <- response
	}()
	g.Members[leader].Resume()
	if response := peertest.Wait(t, renewed); response != nil && response.SessionAlive {
		t.Error("it says yes")
	}
	if !next.Valid() {
		t.Error("the next one has lost it")
	}
}

// A message that is too large is an error at once, for an application too.
func TestTooLarge(t *testing.T) {
	g := newGroup(t, 1)
	c := client(t, g)
	hold(t, c, "x")
	ctx, cancel := context.WithTimeout(t.Context(), peertest.EventTimeout)
	defer cancel()
	for name, want := range map[string]string{strings.Repeat("x", 2<<20): "larger than configured max", strings.Repeat("x", 201): "lease: 201 bytes; write 1 to 200"} {
		if _, err := c.Hold(ctx, name); err == nil || !strings.Contains(err.Error(), want) || ctx.Err() != nil {
			t.Errorf("%v, want %q", err, want)
		}
	}
	hold(t, c, "y") // the session goes on
}
