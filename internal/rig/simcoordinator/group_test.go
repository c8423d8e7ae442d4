package simcoordinator

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/common/await"
	"petrelhook/internal/coordination/fleet"
	corelease "petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/rig/coordinator"
	"petrelhook/internal/rig/memnet"
	"petrelhook/lease"
)

const (
	ttl        = 800 * time.Millisecond
	patientTTL = 20 * time.Second // outlives a few elections
)

// simulate runs a test of coordinators in memory and in virtual time, beside others.
func simulate(t *testing.T, test func(t *testing.T)) {
	t.Parallel()
	bubble.TestInProcess(t, test)
}

// world is a group of coordinators in memory, with its clients.
type world struct {
	*coordinator.Group
	t      *testing.T
	memory *Memory
}

func newGroup(t *testing.T, n int) *world {
	t.Helper()
	memory := New(t)
	return &world{coordinator.NewGroupOn(t, n, "", memory.Platform()), t, memory}
}

// client returns a client that ends with the test.
func (w *world) client(ttl time.Duration) *lease.Client { return w.clientOn(nil, ttl) }

// clientOn returns a client that is a process of the network.
func (w *world) clientOn(process *memnet.Process, ttl time.Duration) *lease.Client {
	w.t.Helper()
	c, err := lease.New(w.memory.LeaseOptions(w.Addrs(), "same", ttl, process))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	return c
}

// call makes one call to one coordinator.
func (w *world) call(ctx context.Context, addr string, in fleet.Request) (*fleet.Response, error) {
	res, err := fleet.Client[fleet.Request, fleet.Response](w.memory.Client, addr, fleet.PathRequest).CallUnary(ctx, connect.NewRequest(&in))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// waitFor receives a value that must come.
func waitFor[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(await.Timeout):
		t.Fatalf("nothing was received within %v", await.Timeout)
		panic("not reached")
	}
}

func hold(t *testing.T, c *lease.Client, name string) *lease.Held {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), await.Timeout)
	defer cancel()
	h, err := c.Hold(ctx, name)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// A replica that lost its disk may not come back under its id: it ends and says what to do. Under a new id it is added, learns and
// votes; the lost one is removed. One that was removed and comes back ends too, and disturbs no other.
func TestLostDisk(t *testing.T) { simulate(t, testLostDisk) }

func testLostDisk(t *testing.T) {
	g := newGroup(t, 3)
	held := hold(t, g.client(patientTTL), "x")
	await.Eventually(t, "all disks are known", func() bool {
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
	await.Eventually(t, "another leads", func() bool { l := g.Leader(); return l >= 0 && l != leader || g.IsLeader(fourthAddr) })
	if !held.Valid() {
		t.Error("a lease that could be renewed was lost")
	}
}

// join starts a further coordinator, which reaches the others by the links of one that is not partitioned, adds it, and waits until it votes.
func join(t *testing.T, g *world, by *coordinator.Member, id uint64) (addr string) {
	t.Helper()
	way := g.NewLink()
	text, _ := os.ReadFile(g.ConfigFile(by.Index))
	joins := strings.Replace(string(text), fmt.Sprintf("id: %d\ndata: data%d", by.Index+1, by.Index+1), fmt.Sprintf("id: %d\njoin: true\ndata: data%d", id, id), 1)
	joins += fmt.Sprintf("  - {id: %d, address: %q}\n", id, way.Addr)
	path := filepath.Join(g.Dir, fmt.Sprintf("c%d.yaml", id))
	os.WriteFile(path, []byte(joins), 0o600)
	addr = g.AwaitServing(g.memory.Start(path))
	way.SetTarget(addr)
	if _, err := g.Call(fleet.Request{AddMember: &replica.Member{ID: id, Addr: way.Addr}}); err != nil {
		t.Fatal(err)
	}
	await.Eventually(t, "it votes", func() bool {
		response, err := g.Call(fleet.Request{Backup: true})
		return err == nil && slices.ContainsFunc(response.Members, func(m replica.Member) bool { return m.ID == id && !m.Learner })
	})
	return addr
}

// The leader is removed: it ends, another leads, and it cannot come back. Leases live on.
func TestRemovedLeader(t *testing.T) { simulate(t, testRemovedLeader) }

func testRemovedLeader(t *testing.T) {
	g := newGroup(t, 3)
	held := hold(t, g.client(patientTTL), "x")
	leader := g.AwaitNewLeader(-1)
	if _, err := g.Call(fleet.Request{RemoveMember: uint64(leader + 1)}); err != nil {
		t.Fatal(err)
	}
	g.AwaitNewLeader(leader)
	was := hold(t, g.client(ttl), "y").Token
	if g.Members[leader].Wait(); !strings.Contains(g.Members[leader].Log.String(), "not a member of this group") {
		t.Errorf("%s", g.Members[leader].Log)
	}
	g.Members[leader].Start()
	g.Members[leader].Wait()
	if now := hold(t, g.client(ttl), "z").Token; now != was+1 || !held.Valid() {
		t.Errorf("token %d after %d", now, was)
	}
}

// A back-up is restored to a new group while a holder of the old one still believes: nothing is granted until that has ended, and
// tokens go on beyond.
func TestRestoredWhileAHolderLives(t *testing.T) { simulate(t, testRestoredWhileAHolderLives) }

func testRestoredWhileAHolderLives(t *testing.T) {
	g := newGroup(t, 1)
	backup, err := g.Call(fleet.Request{Backup: true})
	if err != nil {
		t.Fatal(err)
	}
	old := hold(t, g.client(ttl), "x") // after the back-up
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
	await.Eventually(t, "it leads", func() bool { return g.Leader() == 0 })
	a, err := g.Call(fleet.Request{Command: &corelease.Command{Kind: corelease.Open, Nonce: "another client", Owner: "o", TTL: ttl}})
	if err != nil {
		t.Fatal(err)
	}
	a, err = g.Call(fleet.Request{Command: &corelease.Command{Kind: corelease.Acquire, Session: a.Answer.Session, Seq: 1, Name: "x"}})
	if err != nil || a.Answer.Status != corelease.Embargoed {
		t.Errorf("%v, %+v", err, a)
	}
	next := hold(t, g.client(ttl), "x")
	if old.Valid() || next.Token <= old.Token {
		t.Errorf("token %d, and %d is believed: %v", next.Token, old.Token, old.Valid())
	}
}

// A waiter is killed just as the lease is granted to it: the next one gets the lease within one TTL and the drift of clocks.
func TestWaiterDies(t *testing.T) { simulate(t, testWaiterDies) }

func testWaiterDies(t *testing.T) {
	g := newGroup(t, 1)
	first := hold(t, g.client(ttl), "task")
	name := "task"
	queue := func() int {
		response, err := g.Call(fleet.Request{ListLeases: &name})
		if err != nil || len(response.Leases) == 0 {
			return -1
		}
		return len(response.Leases[0].Queue)
	}
	network := g.memory.Network.NewProcess()
	waiter := g.clientOn(network, ttl)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = waiter.Hold(ctx, "task") }() // it is killed
	await.Eventually(t, "it waits", func() bool { return queue() == 1 })
	got := make(chan *lease.Held, 1)
	second := g.client(ttl)
	go func() { h, _ := second.Hold(t.Context(), "task"); got <- h }()
	await.Eventually(t, "both wait", func() bool { return queue() == 2 })
	network.Kill()
	if err := first.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if h := waitFor(t, got); h == nil || time.Since(began) > 3*ttl {
		t.Errorf("%v after %v", h, time.Since(began))
	}
	cancel()
}

// Without a majority there is no grant, and at once a clear error that says when to try again; another version is refused.
func TestNoMajority(t *testing.T) { simulate(t, testNoMajority) }

func testNoMajority(t *testing.T) {
	g := newGroup(t, 3)
	held := hold(t, g.client(ttl), "x")
	for _, c := range g.Members[:2] {
		c.KillAndWait()
	}
	await.Eventually(t, "the last one knows", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		res, err := g.call(ctx, g.ClientLinks[2].Addr, fleet.Request{Version: fleet.Version, Command: &corelease.Command{Kind: corelease.Open, Nonce: "12345678", Owner: "o", TTL: ttl}})
		return err == nil && strings.Contains(res.Err, "majority is out of reach") && res.RetryAfterMs > 0
	})
	waitFor(t, held.Context().Done())
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := g.call(ctx, g.ClientLinks[2].Addr, fleet.Request{Version: 99}); err == nil || !strings.Contains(err.Error(), "version 99") {
		t.Errorf("%v", err)
	}
	if _, err := g.Operator().Status(ctx, g.ClientLinks[2].Addr); err != nil {
		t.Error(err)
	}
}

// All coordinators are killed at once, right after the response to a grant: the grant is there again, the session lives on, and no token
// is granted twice.
func TestAllKilledAtOnce(t *testing.T) { simulate(t, testAllKilledAtOnce) }

func testAllKilledAtOnce(t *testing.T) {
	g := newGroup(t, 3)
	c := g.client(ttl)
	var last lease.Token
	for round := range 3 {
		h := hold(t, c, fmt.Sprint("x", round))
		g.KillAll()
		next := hold(t, g.client(ttl), fmt.Sprint("y", round))
		if h.Token <= last || next.Token <= h.Token {
			t.Errorf("tokens %d, %d, %d", last, h.Token, next.Token)
		}
		last = next.Token
	}
}

// The leader is partitioned from the others, not from clients: a change that it is asked for does not happen, and it says that the outcome
// is unknown; the others go on and remove it. When the partition ends it ends.
func TestChangesWhileTheLeaderIsPartitioned(t *testing.T) {
	simulate(t, testChangesWhileTheLeaderIsPartitioned)
}

func testChangesWhileTheLeaderIsPartitioned(t *testing.T) {
	g := newGroup(t, 3)
	held := hold(t, g.client(patientTTL), "x")
	leader := g.AwaitNewLeader(-1)
	c := g.Members[leader]
	c.Partition(true, true, true)
	other := (leader + 1) % 3
	ctx, cancel := context.WithTimeout(t.Context(), await.Timeout)
	defer cancel()
	response, err := g.call(ctx, g.ClientLinks[leader].Addr, fleet.Request{Version: fleet.Version, RemoveMember: uint64(other + 1)})
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

// A message that is too large is an error at once, for an application too.
func TestTooLarge(t *testing.T) { simulate(t, testTooLarge) }

func testTooLarge(t *testing.T) {
	g := newGroup(t, 1)
	c := g.client(ttl)
	hold(t, c, "x")
	ctx, cancel := context.WithTimeout(t.Context(), await.Timeout)
	defer cancel()
	for name, want := range map[string]string{strings.Repeat("x", 2<<20): "larger than configured max", strings.Repeat("x", 201): "lease: 201 bytes; write 1 to 200"} {
		if _, err := c.Hold(ctx, name); err == nil || !strings.Contains(err.Error(), want) || ctx.Err() != nil {
			t.Errorf("%v, want %q", err, want)
		}
	}
	hold(t, c, "y") // the session goes on
}

// Many holders at a change of leader: none loses a session that could be renewed, and renewals do not come in step.
func TestManyHolders(t *testing.T) { simulate(t, testManyHolders) }

func testManyHolders(t *testing.T) {
	holders, each := 100, 5
	if os.Getenv("FIGURES") != "" {
		holders = 2000
	}
	g := newGroup(t, 3)
	const long = 6 * time.Second
	clients := make([]*lease.Client, holders)
	var lost, held atomic.Int64
	var sides sync.WaitGroup
	limit := make(chan struct{}, 64)
	all := make([][]*lease.Held, holders)
	for i := range clients {
		limit <- struct{}{}
		sides.Go(func() {
			defer func() { <-limit }()
			c, err := lease.New(g.memory.LeaseOptions(g.Addrs(), "many", long, nil))
			if err != nil {
				t.Error(err)
				return
			}
			clients[i] = c
			for n := range each {
				h, err := c.Hold(t.Context(), fmt.Sprintf("many-%d-%d", i, n))
				if err != nil {
					t.Error(err)
					return
				}
				held.Add(1)
				all[i] = append(all[i], h)
			}
		})
	}
	sides.Wait()
	leader := g.Leader()
	g.Members[leader].KillAndWait()
	g.AwaitNewLeader(leader)
	<-time.After(long + long/2) // all have to have been renewed by the new leader
	for _, hs := range all {
		for _, h := range hs {
			if !h.Valid() {
				lost.Add(1)
			}
		}
	}
	t.Logf("%d holders, %d leases: %d lost at a change of leader", holders, held.Load(), lost.Load())
	if lost.Load() > 0 {
		t.Error("leases that could be renewed were lost")
	}
	for _, c := range clients {
		sides.Go(func() { c.Close() })
	}
	sides.Wait()
}

// Without a fault the leader stays: three and five coordinators with sessions that are renewed, for a minute, are led by the one that led
// at first, and each has logged one change of leadership at the most.
func TestALeaderStaysWithoutAFault(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { simulate(t, func(t *testing.T) { testALeaderStays(t, n) }) })
	}
}

func testALeaderStays(t *testing.T, n int) {
	g := newGroup(t, n)
	var all []*lease.Held
	for i := range 10 {
		all = append(all, hold(t, g.client(patientTTL), fmt.Sprint("x", i)))
	}
	leader := g.AwaitNewLeader(-1)
	<-time.After(time.Minute)
	if now := g.Leader(); now != leader {
		t.Errorf("coordinator %d led, and now %d does", leader, now)
	}
	for _, m := range g.Members {
		if changes := strings.Count(m.Log.String(), `msg="leadership changed"`); changes > 1 || changes == 1 && m.Index != leader {
			t.Errorf("coordinator %d: %d changes of leadership", m.Index, changes)
		}
	}
	for _, h := range all {
		if !h.Valid() {
			t.Errorf("%s is lost", h.Name)
		}
	}
}
