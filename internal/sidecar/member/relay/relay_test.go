package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/sidecar/member"
)

// fakeSource delivers the lists that a test sends it, and records its watches.
type fakeSource struct {
	mu             sync.Mutex // a timer that wakes the writer does not order its writes before the reader's reads
	watches        int        // number of open watches
	requestedAfter []uint64   // the generation of each watch
	lists          chan member.List
	hub            *Hub
}

func (s *fakeSource) Name() string { return "d" }
func (s *fakeSource) Fetch(context.Context) (member.List, error) {
	return member.List{}, errors.New("none")
}
func (s *fakeSource) Watch(ctx context.Context, after uint64, onList func(member.List)) error {
	count := func(n int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.watches += n; n > 0 {
			s.requestedAfter = append(s.requestedAfter, after)
		}
	}
	count(1)
	defer count(-1)
	s.hub.WatchOpened("d")
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case list := <-s.lists:
			onList(list)
		}
	}
}

// A process follows the other while updates arrive, and skips lists that it has delivered already. As soon as the updates stop,
// it watches by itself from its current generation, for at least FollowCooldown.
func TestFollowPeer(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		h := New()
		d := &fakeSource{lists: make(chan member.List), hub: h}
		ctx, end := context.WithCancel(t.Context())
		var delivered []uint64
		ended := make(chan error, 1)
		go func() {
			ended <- h.Wrap(d).Watch(ctx, 7, func(list member.List) {
				d.mu.Lock()
				defer d.mu.Unlock()
				delivered = append(delivered, list.Generation)
			})
		}()
		synctest.Wait()
		d.lists <- member.List{Generation: 9}
		receive := func(generation uint64) {
			h.Receive(Update{"d", &member.List{Generation: generation}})
			synctest.Wait()
		}
		check := func(what string, watches int, want ...uint64) {
			t.Helper()
			synctest.Wait()
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.watches != watches || !slices.Equal(delivered, want) {
				t.Fatalf("%s: %d watches, delivered %v, want %d, %v", what, d.watches, delivered, watches, want)
			}
		}
		check("alone", 1, 9)
		h.Receive(Update{Source: "another"})
		check("the other watches another source", 1, 9)
		h.Receive(Update{Source: "d"})
		check("the watch of the other is open", 0, 9)
		receive(8)
		receive(9)
		receive(10)
		check("following", 0, 9, 10)
		time.Sleep(FollowTimeout / 2)
		h.Receive(Update{Source: "d"})
		time.Sleep(FollowTimeout - 1)
		check("just before the timeout", 0, 9, 10)
		time.Sleep(time.Nanosecond)
		check("silent", 1, 9, 10)
		receive(11)
		check("in the cooldown", 1, 9, 10)
		time.Sleep(FollowCooldown)
		receive(11)
		check("following again", 0, 9, 10, 11)
		h.PeerGone()
		check("the next process has gone", 1, 9, 10, 11)
		if !slices.Equal(d.requestedAfter, []uint64{7, 10, 11}) {
			t.Errorf("watches were opened after the generations %v", d.requestedAfter)
		}
		end()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// The process that watches sends heartbeats while its watch is open, and each list at once. It never waits for the other process:
// if that one does not keep up, Publish returns.
func TestPublish(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		h := New()
		d := &fakeSource{lists: make(chan member.List), hub: h}
		ctx, end := context.WithCancel(t.Context())
		updates, ended := make(chan Update), make(chan struct{})
		go func() {
			h.Publish(ctx, func(update Update) error { updates <- update; return nil })
			close(ended)
		}()
		time.Sleep(3 * HeartbeatInterval)
		select {
		case update := <-updates:
			t.Fatalf("%v while nothing is watched", update)
		default:
		}
		go h.Wrap(d).Watch(ctx, 0, func(member.List) {})
		if update := <-updates; update.Source != "d" || update.List != nil {
			t.Errorf("%v", update)
		}
		synctest.Wait()
		d.lists <- member.List{Generation: 1}
		if update := <-updates; update.List == nil || update.List.Generation != 1 {
			t.Errorf("%v", update)
		}
		for range 2*maxPending + 2 { // nobody reads
			d.lists <- member.List{Generation: 2}
		}
		for over := false; !over; {
			select {
			case <-updates:
			case <-ended:
				over = true
			}
		}
		end()
	})
}
