package lease_test

import (
	"context"
	"testing"
	"time"

	"petrelhook/internal/rig/coordinator"
	"petrelhook/lease"
)

// A caller that no longer waits for its release, or for its turn, asks again at once: what it had asked for comes before, and does not
// end the new grant behind its back. Only one caller of a client asks for a name at a time.
func TestCommandsKeepTheirOrder(t *testing.T) {
	addr, _ := coordinator.For(t)
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
	gone, end := context.WithCancel(ctx)
	end()
	h, err := a.Hold(ctx, "x")
	for round := range 60 {
		if err != nil {
			t.Fatal(err)
		}
		h.Release(gone)
		a.Hold(gone, "x")
		if h, err = a.Hold(ctx, "x"); err != nil {
			t.Fatal(err)
		}
		if _, err := a.Hold(ctx, "y"); round == 0 && err != nil { // whatever was left behind is over when this is answered
			t.Fatal(err)
		}
		if other, err := b.Try(ctx, "x"); err == nil {
			if h.Valid() {
				t.Fatalf("round %d: two hold, with tokens %d and %d", round, h.Token, other.Token)
			}
			other.Release(ctx)
			h, err = a.Hold(ctx, "x")
		}
	}
}

// A caller gives up while its client asks: what was asked for is let go of, and another has it. (Without Cancel the session keeps it.)
func TestWhoGivesUpKeepsNothing(t *testing.T) {
	addr, _ := coordinator.For(t)
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
			time.Sleep(time.Duration(round) * 10 * time.Microsecond) // at any moment of it
			end()
		}()
		if h, err := clients[0].Hold(short, "x"); err == nil {
			h.Release(ctx)
		}
		y, err := clients[0].Hold(ctx, "y") // whatever was left behind is over when this is answered
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
