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
	mu         sync.Mutex
	follower   follower
	changed    chan struct{} // closed when what is below, or follow, has changed
	received   []member.List // from the other process, in order
	openSource string        // the source of which a watch is open
	publishers map[chan Update]struct{}
}

// New makes the hub of a process that is alone.
func New() *Hub { return &Hub{changed: make(chan struct{}), publishers: map[chan Update]struct{}{}} }

func (h *Hub) notifyChanged() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Receive takes in a word of the next process.
func (h *Hub) Receive(w Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	_, followed := h.follower.follows(w.Source, now)
	if h.follower.contact(w.Source, now); h.follower.source != w.Source {
		return
	}
	if !followed {
		h.received = nil
	}
	if w.List != nil {
		if len(h.received) == maxPending {
			h.follower.unfollow(now)
			h.received = nil
		} else {
			h.received = append(h.received, *w.List)
		}
	}
	if !followed || w.List != nil {
		h.notifyChanged()
	}
}

// PeerGone: there is no next process any more.
func (h *Hub) PeerGone() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.follower, h.received = follower{}, nil
	h.notifyChanged()
}

// Publish tells the process before what this one's watch is told, until ctx ends or a word cannot be said. say may block.
func (h *Hub) Publish(ctx context.Context, say func(Update) error) {
	words := make(chan Update, maxPending)
	h.mu.Lock()
	h.publishers[words] = struct{}{}
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.publishers, words)
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
			w.Source = h.openSource
			h.mu.Unlock()
		}
		if w.Source != "" && say(w) != nil {
			return
		}
	}
}

// publishList passes a list on to the process before.
func (h *Hub) publishList(source string, l member.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openSource = source
	for words := range h.publishers {
		select {
		case words <- Update{source, &l}:
		default:
			close(words)
			delete(h.publishers, words)
		}
	}
}

// WatchOpened is told by what watches that its watch of a source is open.
func (h *Hub) WatchOpened(source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openSource = source
}

// watchClosed: the watch of a source is not open any more; another one's may be.
func (h *Hub) watchClosed(source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.openSource == source {
		h.openSource = ""
	}
}

// nextList is the next list of the other process, if there is one; else whether to go on waiting for it, and how.
func (h *Hub) nextList(source string) (l *member.List, until time.Time, changed <-chan struct{}, follows bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until, follows = h.follower.follows(source, time.Now()); follows && len(h.received) > 0 {
		l = &h.received[0]
		h.received = h.received[1:]
	}
	return l, until, h.changed, follows
}

// Wrap makes a source whose watch is the next process's while there is one that watches.
func (h *Hub) Wrap(inner member.Source) member.Source { return &relayedSource{Source: inner, hub: h} }

type relayedSource struct {
	member.Source
	hub *Hub
}

// Watch ends when the source's own does, or with ctx.
func (s *relayedSource) Watch(ctx context.Context, after uint64, tell func(member.List)) error {
	name := s.Name()
	defer s.hub.watchClosed(name)
	take := func(l member.List) {
		after = l.Generation
		s.hub.publishList(name, l)
		tell(l)
	}
	for {
		for follows := true; follows; {
			var l *member.List
			var until time.Time
			var changed <-chan struct{}
			if l, until, changed, follows = s.hub.nextList(name); l != nil {
				if isNewer(l, after) {
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
		s.hub.watchClosed(name) // until the watch that follows is open
		if err := s.watchAlone(ctx, after, take); !errors.Is(err, errPeerWatches) {
			return err
		}
	}
}

// errPeerWatches ends a watch in favour of the next process's.
var errPeerWatches = errors.New("the next process watches")

// watchAlone watches until there is a next process that does.
func (s *relayedSource) watchAlone(ctx context.Context, after uint64, tell func(member.List)) error {
	own, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	looks := make(chan struct{})
	go func() {
		defer close(looks)
		for {
			s.hub.mu.Lock()
			_, follows := s.hub.follower.follows(s.Name(), time.Now())
			changed := s.hub.changed
			s.hub.mu.Unlock()
			if follows {
				cancel(errPeerWatches)
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
	if context.Cause(own) == errPeerWatches {
		err = errPeerWatches
	}
	cancel(nil)
	<-looks
	return err
}
