package lease_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"petrelhook/internal/coordination/fleet"
	core "petrelhook/internal/coordination/lease"
	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/rig/coordinator"
	"petrelhook/internal/rig/simcoordinator"
	"petrelhook/lease"
)

func Example() {
	addr, stop, err := coordinator.Start()
	if err != nil {
		panic(err)
	}
	defer stop()
	c, err := lease.New(lease.Options{Addrs: []string{addr}, Owner: "n1"})
	if err != nil {
		panic(err)
	}
	defer c.Close()
	held, err := c.Hold(context.Background(), "nightly-report")
	if err != nil {
		panic(err)
	}
	var guard lease.Guard // in the resource that the lease protects
	fmt.Println(guard.Admit(held.Token, func() error { fmt.Println("written"); return held.Context().Err() }))
	fmt.Println(held.Release(context.Background()))
	// Output:
	// written
	// <nil>
	// <nil>
}

// simulation is a coordinator in memory and in virtual time.
type simulation struct {
	t      *testing.T
	memory *simcoordinator.Memory
	group  *coordinator.Group
}

// runSimulated runs a test in virtual time, in parallel with others.
func runSimulated(t *testing.T, test func(t *testing.T, sim *simulation)) {
	t.Parallel()
	bubble.TestInProcess(t, func(t *testing.T) {
		memory := simcoordinator.New(t)
		test(t, &simulation{t, memory, coordinator.NewGroupOn(t, 1, "", memory.Platform())})
	})
}

// newClient returns a client that is closed at the end of the test. All clients have the same owner and differ only in their
// sessions.
func (s *simulation) newClient(ttl time.Duration) *lease.Client {
	s.t.Helper()
	c, err := lease.New(s.memory.LeaseOptions(s.group.Addrs(), "same", ttl, nil))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return c
}

// An operator breaks a lease. The holder's context ends with the next renewal, but the holder still holds the lease until it
// releases it, and the lease is not granted again before.
func TestBrokenLease(t *testing.T) { runSimulated(t, testBrokenLease) }

func testBrokenLease(t *testing.T, sim *simulation) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	a := sim.newClient(2 * time.Second)
	first, err := a.Hold(ctx, "x")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := sim.group.Operator().Call(ctx, fleet.Request{Command: &core.Command{Kind: core.Break, Name: "x"}}); err != nil {
		t.Fatal(err)
	}
	<-first.Context().Done()
	if context.Cause(first.Context()) != lease.ErrBroken || !first.Valid() || first.Left() <= 0 { //nolint:errorlint // the sentinel itself, not wrapped
		t.Errorf("%v, valid %v", context.Cause(first.Context()), first.Valid())
	}
	if _, err := a.Try(ctx, "x"); err == nil {
		t.Error("the lease was granted again before its release")
	}
	if err := first.Release(ctx); err != nil {
		t.Error(err)
	}
	if second, err := a.Try(ctx, "x"); err != nil || second.Token <= first.Token {
		t.Errorf("%v", err)
	}
}

// A lease has one holder at a time. A second client gets it after its release, or at once when the holder's client is closed, and
// always with a higher token. Without a coordinator the lease ends.
func TestOneHolder(t *testing.T) { runSimulated(t, testOneHolder) }

func testOneHolder(t *testing.T, sim *simulation) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	a, b := sim.newClient(time.Second), sim.newClient(time.Second)
	first, err := a.Hold(ctx, "x")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Try(ctx, "x"); !errors.Is(err, lease.ErrTaken) {
		t.Errorf("%v", err)
	}
	second := releaseToWaiter(ctx, t, first, b)
	checkOnlyNewestAdmitted(t, first, second)

	// closing the client ends its session, and its leases are free at once
	if err := b.Close(); err != nil {
		t.Error(err)
	}
	third, err := a.Hold(ctx, "x")
	if err != nil || third.Token <= second.Token {
		t.Errorf("%v", err)
	}
	sim.group.Members[0].KillAndWait()
	checkLost(ctx, t, third)
	shortCtx, cancelShort := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancelShort()
	if _, err := a.Try(shortCtx, "y"); err == nil {
		t.Error("a grant without a coordinator")
	}
	a.Close()
}

// releaseToWaiter lets another client wait for a lease, releases the lease, and returns the lease that the other client then
// holds.
func releaseToWaiter(ctx context.Context, t *testing.T, held *lease.Held, waiter *lease.Client) *lease.Held {
	t.Helper()
	granted := make(chan *lease.Held, 1)
	go func() {
		next, err := waiter.Hold(ctx, "x")
		if err != nil {
			t.Error(err)
		}
		granted <- next
	}()
	if err := held.Release(ctx); err != nil {
		t.Error(err)
	}
	if context.Cause(held.Context()) != lease.ErrReleased || held.Valid() { //nolint:errorlint // the sentinel itself, not wrapped
		t.Error("the lease is still valid")
	}
	next := <-granted
	if next.Token <= held.Token || !next.Valid() {
		t.Errorf("token %d after %d", next.Token, held.Token)
	}
	return next
}

// checkOnlyNewestAdmitted checks that a guard that has admitted the token of the newer holder rejects that of the older one.
func checkOnlyNewestAdmitted(t *testing.T, older, newer *lease.Held) {
	t.Helper()
	var guard lease.Guard
	if err := guard.Admit(newer.Token, func() error { return nil }); err != nil {
		t.Error(err)
	}
	err := guard.Admit(older.Token, func() error { t.Error("an operation with a stale token was admitted"); return nil })
	if !errors.Is(err, lease.ErrStaleToken) {
		t.Errorf("%v", err)
	}
}

// checkLost waits for the end of a lease whose coordinator is out of reach, until ctx ends, and checks that the cause is ErrLost.
func checkLost(ctx context.Context, t *testing.T, held *lease.Held) {
	t.Helper()
	select {
	case <-held.Context().Done():
		if context.Cause(held.Context()) != lease.ErrLost { //nolint:errorlint // the sentinel itself, not wrapped
			t.Errorf("%v", context.Cause(held.Context()))
		}
	case <-ctx.Done():
		t.Error("the lease does not end")
	}
}

// A lease is transferred to the last of several waiters. A transfer to a session that does not wait releases the lease, and the
// first waiter gets it.
func TestTransfer(t *testing.T) { runSimulated(t, testTransfer) }

func testTransfer(t *testing.T, sim *simulation) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	var clients []*lease.Client
	granted := make([]chan *lease.Held, 4)
	for i := range granted {
		c := sim.newClient(2 * time.Second)
		clients = append(clients, c)
		granted[i] = make(chan *lease.Held, 1)
		go func() {
			h, err := c.Hold(ctx, "x")
			if err == nil {
				granted[i] <- h
			}
		}()
		for queued := 0; queued != i+1; { // in this order
			name := "x"
			if response, err := sim.group.Operator().Call(ctx, fleet.Request{ListLeases: &name}); err == nil && len(response.Leases) == 1 {
				queued = 1 + len(response.Leases[0].Queue)
			} else if ctx.Err() != nil {
				t.Fatal("the wait did not begin")
			}
		}
	}
	first := <-granted[0]
	if err := first.Transfer(ctx, clients[3].Session()); err != nil || first.Valid() {
		t.Errorf("%v", err)
	}
	last := <-granted[3]
	if err := last.Transfer(ctx, clients[0].Session()); !errors.Is(err, lease.ErrNotWaiting) {
		t.Errorf("%v", err)
	}
	if next := <-granted[1]; next.Token != last.Token+1 {
		t.Errorf("token %d after %d", next.Token, last.Token)
	}
}
