package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/internal/sidecar/member"
)

// fakeSource is a discovery: a list is told to whoever watches; a watch asks for what came after a generation.
type fakeSource struct {
	mu             sync.Mutex // a timer that wakes who writes orders nothing
	watches        int
	requestedAfter []uint64
	lists          chan member.List
	hub            *Hub
}

func (s *fakeSource) Name() string { return "d" }
func (s *fakeSource) Fetch(context.Context) (member.List, error) {
	return member.List{}, errors.New("none")
}
func (s *fakeSource) Watch(ctx context.Context, after uint64, tell func(member.List)) error {
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
		case l := <-s.lists:
			tell(l)
		}
	}
}

// A process goes by the other's words while they come, leaves out what it had already, and watches by itself as soon as they
// stop, for Again at least, from the generation that it holds.
func TestFollowing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New()
		d := &fakeSource{lists: make(chan member.List), hub: h}
		ctx, end := context.WithCancel(t.Context())
		var had []uint64
		ended := make(chan error, 1)
		go func() {
			ended <- h.Wrap(d).Watch(ctx, 7, func(l member.List) {
				d.mu.Lock()
				defer d.mu.Unlock()
				had = append(had, l.Generation)
			})
		}()
		synctest.Wait()
		d.lists <- member.List{Generation: 9}
		word := func(g uint64) { h.Receive(Update{"d", &member.List{Generation: g}}); synctest.Wait() }
		check := func(what string, watches int, want ...uint64) {
			t.Helper()
			synctest.Wait()
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.watches != watches || !slices.Equal(had, want) {
				t.Fatalf("%s: %d watches, had %v, want %d, %v", what, d.watches, had, watches, want)
			}
		}
		check("alone", 1, 9)
		h.Receive(Update{Source: "another"})
		check("it watches another source", 1, 9)
		h.Receive(Update{Source: "d"})
		check("its watch is open", 0, 9)
		word(8)
		word(9)
		word(10)
		check("by its words", 0, 9, 10)
		time.Sleep(FollowTimeout / 2)
		h.Receive(Update{Source: "d"})
		time.Sleep(FollowTimeout - 1)
		check("just fresh", 0, 9, 10)
		time.Sleep(1)
		check("silent", 1, 9, 10)
		word(11)
		check("barred", 1, 9, 10)
		time.Sleep(FollowCooldown)
		word(11)
		check("heard again", 0, 9, 10, 11)
		h.PeerGone()
		check("it has gone", 1, 9, 10, 11)
		if !slices.Equal(d.requestedAfter, []uint64{7, 10, 11}) {
			t.Errorf("asked for what came after %v", d.requestedAfter)
		}
		end()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// The one that watches says so as long as its watch is open, passes on each list at once, and is never held up by the other,
// which goes without it when it does not keep up.
func TestLeading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New()
		d := &fakeSource{lists: make(chan member.List), hub: h}
		ctx, end := context.WithCancel(t.Context())
		words, gone := make(chan Update), make(chan struct{})
		go func() {
			h.Publish(ctx, func(w Update) error { words <- w; return nil })
			close(gone)
		}()
		time.Sleep(3 * HeartbeatInterval)
		select {
		case w := <-words:
			t.Fatalf("%v while nothing is watched", w)
		default:
		}
		go h.Wrap(d).Watch(ctx, 0, func(member.List) {})
		if w := <-words; w.Source != "d" || w.List != nil {
			t.Errorf("%v", w)
		}
		synctest.Wait()
		d.lists <- member.List{Generation: 1}
		if w := <-words; w.List == nil || w.List.Generation != 1 {
			t.Errorf("%v", w)
		}
		for range 2*maxPending + 2 { // nobody reads
			d.lists <- member.List{Generation: 2}
		}
		for over := false; !over; {
			select {
			case <-words:
			case <-gone:
				over = true
			}
		}
		end()
	})
}
