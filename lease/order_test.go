package lease_test

import (
	"context"
	"testing"
	"time"

	"petrelhook/internal/rig/coordinator"
	"petrelhook/lease"
)

// A caller that does not wait for the answers to its Release and Hold calls Hold again at once. Its earlier commands are applied
// first and do not end the new grant.
func TestCommandsKeepTheirOrder(t *testing.T) {
	addr, _ := coordinator.StartForTest(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	newClient := func() *lease.Client {
		c, err := lease.New(lease.Options{Addrs: []string{addr}, Owner: "same", TTL: 5 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	a, b := newClient(), newClient()
	endedCtx, cancelEnded := context.WithCancel(ctx)
	cancelEnded()
	h, err := a.Hold(ctx, "x")
	for round := range 60 {
		if err != nil {
			t.Fatal(err)
		}
		h.Release(endedCtx)
		a.Hold(endedCtx, "x")
		if h, err = a.Hold(ctx, "x"); err != nil {
			t.Fatal(err)
		}
		if _, err := a.Hold(ctx, "y"); round == 0 && err != nil { // all earlier commands have finished when this one is answered
			t.Fatal(err)
		}
		if other, err := b.Try(ctx, "x"); err == nil {
			if h.Valid() {
				t.Fatalf("round %d: two clients hold the lease, with tokens %d and %d", round, h.Token, other.Token)
			}
			other.Release(ctx)
			if h, err = a.Hold(ctx, "x"); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// A caller cancels Hold while its client sends the request. The grant that may have been made is released, and another client
// gets the lease. Without the Cancel command the session would keep the grant.
func TestACancelledCallKeepsNothing(t *testing.T) {
	addr, _ := coordinator.StartForTest(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	var clients []*lease.Client
	for range 2 {
		c, err := lease.New(lease.Options{Addrs: []string{addr}, Owner: "same", TTL: 20 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		clients = append(clients, c)
	}
	for round := range 200 {
		shortCtx, cancelShort := context.WithCancel(ctx)
		go func() {
			time.Sleep(time.Duration(round) * 10 * time.Microsecond) // at any moment of the request
			cancelShort()
		}()
		if h, err := clients[0].Hold(shortCtx, "x"); err == nil {
			h.Release(ctx)
		}
		y, err := clients[0].Hold(ctx, "y") // all earlier commands have finished when this one is answered
		if err != nil || y.Release(ctx) != nil {
			t.Fatal(err)
		}
		h, err := clients[1].Try(ctx, "x")
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		if err := h.Release(ctx); err != nil {
			t.Fatal(err)
		}
	}
}
