package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"petrelhook/internal/sidecar/member"
)

// Hub is one process's side of the relay, for all its sources one after another.
type Hub struct {
	mu         sync.Mutex
	follower   follower
	changed    chan struct{} // closed and replaced when received or follower has changed
	received   []member.List // from the other process, in order, not delivered yet
	openSource string        // the source of which a watch is open; "": none
	publishers map[chan Update]struct{}
}

// New returns the hub of a process that is alone.
func New() *Hub {
	return &Hub{changed: make(chan struct{}), publishers: map[chan Update]struct{}{}}
}

// notifyChanged wakes those who wait for a change. The caller holds mu.
func (h *Hub) notifyChanged() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Receive handles an update of the next process. If more lists are pending than there is room for, they are dropped and the process
// watches by itself.
func (h *Hub) Receive(update Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	_, followed := h.follower.follows(update.Source, now)
	if h.follower.observe(update.Source, now); h.follower.source != update.Source {
		return
	}
	if !followed {
		h.received = nil
	}
	if update.List != nil {
		if len(h.received) == maxPending {
			h.follower.unfollow(now)
			h.received = nil
		} else {
			h.received = append(h.received, *update.List)
		}
	}
	if !followed || update.List != nil {
		h.notifyChanged()
	}
}

// PeerGone says that there is no next process any more.
func (h *Hub) PeerGone() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.follower, h.received = follower{}, nil
	h.notifyChanged()
}

// Publish sends the lists that this process's watch delivers to the previous process, and heartbeats, until ctx ends, send fails, or the
// other side does not keep up and so watches by itself. send may block.
func (h *Hub) Publish(ctx context.Context, send func(Update) error) {
	updates := make(chan Update, maxPending)
	h.mu.Lock()
	h.publishers[updates] = struct{}{}
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.publishers, updates)
	}()
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		var update Update
		select {
		case <-ctx.Done():
			return
		case next, ok := <-updates:
			if update = next; !ok { // closed by publishList: the other side does not keep up
				return
			}
		case <-heartbeat.C:
			h.mu.Lock()
			update.Source = h.openSource
			h.mu.Unlock()
		}
		if update.Source != "" && send(update) != nil {
			return
		}
	}
}

// publishList passes a list that a watch delivered to the publishers, without waiting for them.
func (h *Hub) publishList(source string, list member.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openSource = source
	for updates := range h.publishers {
		select {
		case updates <- Update{source, &list}:
		default:
			close(updates)
			delete(h.publishers, updates)
		}
	}
}

// WatchOpened says that a watch of a source is open. The code that opens watches calls it.
func (h *Hub) WatchOpened(source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openSource = source
}

// watchClosed says that the watch of a source is not open any more; that of another source may be.
func (h *Hub) watchClosed(source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.openSource == source {
		h.openSource = ""
	}
}

// nextList returns the next list that was received, if there is one. Otherwise, if follows is true, the caller waits for changed to be
// closed, or for expiry.
func (h *Hub) nextList(source string) (list *member.List, expiry time.Time, changed <-chan struct{}, follows bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if expiry, follows = h.follower.follows(source, time.Now()); follows && len(h.received) > 0 {
		list = &h.received[0]
		h.received = h.received[1:]
	}
	return list, expiry, h.changed, follows
}

// followsPeer reports whether the process follows the other's watch of a source, and returns what is closed when that may change.
func (h *Hub) followsPeer(source string) (follows bool, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, follows = h.follower.follows(source, time.Now())
	return follows, h.changed
}

// Wrap returns a source that delivers what the next process's watch delivers while there is one, and otherwise watches inner.
func (h *Hub) Wrap(inner member.Source) member.Source { return &relayedSource{Source: inner, hub: h} }

type relayedSource struct {
	member.Source
	hub *Hub
}

// Watch implements member.Source. It ends when the inner source's watch does, or with ctx.
func (s *relayedSource) Watch(ctx context.Context, after uint64, onList func(member.List)) error {
	name := s.Name()
	defer s.hub.watchClosed(name)
	deliver := func(list member.List) {
		after = list.Generation
		s.hub.publishList(name, list)
		onList(list)
	}
	deliverIfNewer := func(list *member.List) {
		if isNewer(list, after) {
			deliver(*list)
		}
	}
	for {
		if err := s.followPeer(ctx, name, deliverIfNewer); err != nil {
			return err
		}
		s.hub.watchClosed(name) // until the inner watch is open
		if err := s.watchAlone(ctx, after, deliver); !errors.Is(err, errPeerWatches) {
			return err
		}
	}
}

// followPeer passes on the received lists for as long as the other process is followed. The error is the cause of ctx's end.
func (s *relayedSource) followPeer(ctx context.Context, name string, onList func(*member.List)) error {
	for {
		list, expiry, changed, follows := s.hub.nextList(name)
		switch {
		case list != nil:
			onList(list)
		case !follows:
			return nil
		default:
			s.hub.WatchOpened(name)
			if err := waitForChange(ctx, changed, expiry); err != nil {
				return err
			}
		}
	}
}

// waitForChange waits until changed is closed or a time has come. The error is the cause of ctx's end.
func waitForChange(ctx context.Context, changed <-chan struct{}, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return nil
}

// errPeerWatches ends a watch because the next process watches.
var errPeerWatches = errors.New("the next process watches")

// watchAlone watches the inner source until its watch ends, or with errPeerWatches once the next process watches.
func (s *relayedSource) watchAlone(ctx context.Context, after uint64, onList func(member.List)) error {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	observerEnded := make(chan struct{})
	go func() {
		defer close(observerEnded)
		for {
			follows, changed := s.hub.followsPeer(s.Name())
			if follows {
				cancel(errPeerWatches)
				return
			}
			select {
			case <-watchCtx.Done():
				return
			case <-changed:
			}
		}
	}()
	err := s.Source.Watch(watchCtx, after, onList)
	if errors.Is(context.Cause(watchCtx), errPeerWatches) {
		err = errPeerWatches
	}
	cancel(nil)
	<-observerEnded
	return err
}
