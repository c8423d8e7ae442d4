package lease_test

import (
	"context"
	"testing"
	"time"

	"petrelhook/internal/rig/coordinator"
	"petrelhook/lease"
)

// A caller that does not wait for its release, or for its grant, asks again at once: its earlier commands are carried out before, and do not
// end the new grant. Only one caller of a client waits for a name at a time.
func TestCommandsKeepTheirOrder(t *testing.T) {
	addr, _ := coordinator.StartForTest(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	client := func() *lease.Client {
		c, err := lease.New(lease.Options{Addrs: []string{addr}, Owner: "same", TTL: 5 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	a, b := client(), client()
	ended, end := context.WithCancel(ctx)
	end()
	h, err := a.Hold(ctx, "x")
	for round := range 60 {
		if err != nil {
			t.Fatal(err)
		}
		h.Release(ended)
		a.Hold(ended, "x")
		if h, err = a.Hold(ctx, "x"); err != nil {
			t.Fatal(err)
		}
		if _, err := a.Hold(ctx, "y"); round == 0 && err != nil { // all earlier commands are over when this one is answered
			t.Fatal(err)
		}
		if other, err := b.Try(ctx, "x"); err == nil {
			if h.Valid() {
				t.Fatalf("round %d: two hold, with tokens %d and %d", round, h.Token, other.Token)
			}
			other.Release(ctx)
			if h, err = a.Hold(ctx, "x"); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// A caller gives up while its client sends the request: the grant that it may have got is released, and another client gets it. (Without Cancel
// the session keeps it.)
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
		short, end := context.WithCancel(ctx)
		go func() {
			time.Sleep(time.Duration(round) * 10 * time.Microsecond) // at any moment of the request
			end()
		}()
		if h, err := clients[0].Hold(short, "x"); err == nil {
			h.Release(ctx)
		}
		y, err := clients[0].Hold(ctx, "y") // all earlier commands are over when this one is answered
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
