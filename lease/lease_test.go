package lease_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/internal/coordination/fleet"
	core "petrelhook/internal/coordination/lease"
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
	var table lease.Guard // in the resource that the lease protects
	fmt.Println(table.Admit(held.Token, func() error { fmt.Println("written"); return held.Context().Err() }))
	fmt.Println(held.Release(context.Background()))
	// Output:
	// written
	// <nil>
	// <nil>
}

// world is a coordinator in memory and in virtual time, for clients.
type world struct {
	t      *testing.T
	memory *simcoordinator.Memory
	group  *coordinator.Group
}

// simulate runs a test in virtual time, beside others.
func simulate(t *testing.T, test func(t *testing.T, w *world)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		memory := simcoordinator.New(t)
		test(t, &world{t, memory, coordinator.NewGroupOn(t, 1, "", memory.Platform())})
	})
}

// client is a client that ends with the test. All of them have the same owner, and are told apart by their sessions.
func (w *world) client(ttl time.Duration) *lease.Client {
	w.t.Helper()
	c, err := lease.New(w.memory.LeaseOptions(w.group.Addrs(), "same", ttl, nil))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	return c
}

// Operators break a lease: its holder learns of it with the next renewal, still holds it, and releases it; nobody else holds it before.
func TestBroken(t *testing.T) { simulate(t, testBroken) }

func testBroken(t *testing.T, w *world) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	a := w.client(2 * time.Second)
	first, err := a.Hold(ctx, "x")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.group.Operator().Call(ctx, fleet.Request{Command: &core.Command{Kind: core.Break, Name: "x"}}); err != nil {
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

// A lease has one holder at a time: a second client gets it after its release, or at once when the holder's client is closed, and always with
// a higher token. Without a coordinator the lease ends.
func TestOneHolder(t *testing.T) { simulate(t, testOneHolder) }

func testOneHolder(t *testing.T, w *world) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	a, b := w.client(time.Second), w.client(time.Second)
	first, err := a.Hold(ctx, "x")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Try(ctx, "x"); !errors.Is(err, lease.ErrTaken) {
		t.Errorf("%v", err)
	}
	second := releaseToWaiter(ctx, t, first, b)
	checkOnlyNewestAdmitted(t, first, second)

	// the session ends with the client, and what it held is free at once
	if err := b.Close(); err != nil {
		t.Error(err)
	}
	third, err := a.Hold(ctx, "x")
	if err != nil || third.Token <= second.Token {
		t.Errorf("%v", err)
	}
	w.group.Members[0].KillAndWait()
	checkLost(ctx, t, third)
	short, end := context.WithTimeout(ctx, 300*time.Millisecond)
	defer end()
	if _, err := a.Try(short, "y"); err == nil {
		t.Error("a grant without a coordinator")
	}
	a.Close()
}

// releaseToWaiter has another client wait for a lease, releases it, and returns it as the other holds it.
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

// checkOnlyNewestAdmitted presents the tokens of two holders, one after the other, to the guard of a resource, the newer one first.
func checkOnlyNewestAdmitted(t *testing.T, older, newer *lease.Held) {
	t.Helper()
	var guard lease.Guard
	if err := guard.Admit(newer.Token, func() error { return nil }); err != nil {
		t.Error(err)
	}
	err := guard.Admit(older.Token, func() error { t.Error("the act was admitted"); return nil })
	if !errors.Is(err, lease.ErrOld) {
		t.Errorf("%v", err)
	}
}

// checkLost waits until ctx ends for the end of a lease whose coordinator is out of reach, and checks its cause.
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

// A lease is handed to the last waiter; it cannot be handed to a session that does not wait, and then the first waiter gets it.
func TestTransfer(t *testing.T) { simulate(t, testTransfer) }

func testTransfer(t *testing.T, w *world) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	var clients []*lease.Client
	got := make([]chan *lease.Held, 4)
	for i := range got {
		c := w.client(2 * time.Second)
		clients = append(clients, c)
		got[i] = make(chan *lease.Held, 1)
		go func() {
			h, err := c.Hold(ctx, "x")
			if err == nil {
				got[i] <- h
			}
		}()
		for there := 0; there != i+1; { // in this order
			name := "x"
			if response, err := w.group.Operator().Call(ctx, fleet.Request{ListLeases: &name}); err == nil && len(response.Leases) == 1 {
				there = 1 + len(response.Leases[0].Queue)
			} else if ctx.Err() != nil {
				t.Fatal("the wait did not begin")
			}
		}
	}
	first := <-got[0]
	if err := first.Transfer(ctx, clients[3].Session()); err != nil || first.Valid() {
		t.Errorf("%v", err)
	}
	last := <-got[3]
	if err := last.Transfer(ctx, clients[0].Session()); !errors.Is(err, lease.ErrNotWaiting) {
		t.Errorf("%v", err)
	}
	if next := <-got[1]; next.Token != last.Token+1 {
		t.Errorf("token %d after %d", next.Token, last.Token)
	}
}
