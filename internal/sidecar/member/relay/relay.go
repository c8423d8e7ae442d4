package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"petrelhook/internal/sidecar/member"
)

// Hub is a process's side of the relay, for all sources that it has in turn.
type Hub struct {
	mu      sync.Mutex
	follow  follower
	changed chan struct{} // closed when what is below, or follow, has changed
	came    []member.List // from the other process, in order
	open    string        // the source of which a watch is open
	leads   map[chan Update]struct{}
}

// New makes the hub of a process that is alone.
func New() *Hub { return &Hub{changed: make(chan struct{}), leads: map[chan Update]struct{}{}} }

func (h *Hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Receive takes in a word of the next process.
func (h *Hub) Receive(w Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	_, followed := h.follow.follows(w.Source, now)
	if h.follow.hear(w.Source, now); h.follow.source != w.Source {
		return
	}
	if !followed {
		h.came = nil
	}
	if w.List != nil {
		if len(h.came) == most {
			h.follow.lose(now)
			h.came = nil
		} else {
			h.came = append(h.came, *w.List)
		}
	}
	if !followed || w.List != nil {
		h.wake()
	}
}

// PeerGone: there is no next process any more.
func (h *Hub) PeerGone() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.follow, h.came = follower{}, nil
	h.wake()
}

// Publish tells the process before what this one's watch is told, until ctx ends or a word cannot be said. say may block.
func (h *Hub) Publish(ctx context.Context, say func(Update) error) {
	words := make(chan Update, most)
	h.mu.Lock()
	h.leads[words] = struct{}{}
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.leads, words)
	}()
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	for {
		var w Update
		select {
		case <-ctx.Done():
			return
		case word, ok := <-words:
			if w = word; !ok { // the other does not keep up: it watches by itself
				return
			}
		case <-tick.C:
			h.mu.Lock()
			w.Source = h.open
			h.mu.Unlock()
		}
		if w.Source != "" && say(w) != nil {
			return
		}
	}
}

// told passes a list on to the process before.
func (h *Hub) told(source string, l member.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open = source
	for words := range h.leads {
		select {
		case words <- Update{source, &l}:
		default:
			close(words)
			delete(h.leads, words)
		}
	}
}

// WatchOpened is told by what watches that its watch of a source is open.
func (h *Hub) WatchOpened(source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open = source
}

// ended: the watch of a source is not open any more; another one's may be.
func (h *Hub) ended(source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open == source {
		h.open = ""
	}
}

// next is the next list of the other process, if there is one; else whether to go on waiting for it, and how.
func (h *Hub) next(source string) (l *member.List, until time.Time, changed <-chan struct{}, follows bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until, follows = h.follow.follows(source, time.Now()); follows && len(h.came) > 0 {
		l = &h.came[0]
		h.came = h.came[1:]
	}
	return l, until, h.changed, follows
}

// Wrap makes a source whose watch is the next process's while there is one that watches.
func (h *Hub) Wrap(inner member.Source) member.Source { return &source{Source: inner, hub: h} }

type source struct {
	member.Source
	hub *Hub
}

// Watch ends when the source's own does, or with ctx.
func (s *source) Watch(ctx context.Context, after uint64, tell func(member.List)) error {
	name := s.Name()
	defer s.hub.ended(name)
	take := func(l member.List) {
		after = l.Generation
		s.hub.told(name, l)
		tell(l)
	}
	for {
		for follows := true; follows; {
			var l *member.List
			var until time.Time
			var changed <-chan struct{}
			if l, until, changed, follows = s.hub.next(name); l != nil {
				if news(l, after) {
					take(*l)
				}
				continue
			}
			if !follows {
				break
			}
			s.hub.WatchOpened(name)
			silent := time.NewTimer(time.Until(until))
			select {
			case <-ctx.Done():
			case <-changed:
			case <-silent.C:
			}
			if silent.Stop(); ctx.Err() != nil {
				return context.Cause(ctx)
			}
		}
		s.hub.ended(name) // until the watch that follows is open
		if err := s.alone(ctx, after, take); !errors.Is(err, errFollows) {
			return err
		}
	}
}

// errFollows ends a watch in favour of the next process's.
var errFollows = errors.New("the next process watches")

// alone watches until there is a next process that does.
func (s *source) alone(ctx context.Context, after uint64, tell func(member.List)) error {
	own, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	looks := make(chan struct{})
	go func() {
		defer close(looks)
		for {
			s.hub.mu.Lock()
			_, follows := s.hub.follow.follows(s.Name(), time.Now())
			changed := s.hub.changed
			s.hub.mu.Unlock()
			if follows {
				cancel(errFollows)
				return
			}
			select {
			case <-own.Done():
				return
			case <-changed:
			}
		}
	}()
	err := s.Source.Watch(own, after, tell)
	if context.Cause(own) == errFollows {
		err = errFollows
	}
	cancel(nil)
	<-looks
	return err
}
