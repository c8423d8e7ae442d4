package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"petrelhook/internal/sidecar/member"
)

// Hub is one process's side of the relay. The process may change its source; one Hub serves all sources in turn.
type Hub struct {
	mu         sync.Mutex
	follower   follower
	changed    chan struct{}            // closed and replaced when received or follower has changed
	received   []member.List            // lists from the other process, in order, that are not delivered yet
	openSource string                   // the source whose watch is open; empty if there is none
	publishers map[chan Update]struct{} // the queues of running calls of Publish
}

// New returns the hub of a process that is not connected to a next or previous process.
func New() *Hub {
	return &Hub{changed: make(chan struct{}), publishers: map[chan Update]struct{}{}}
}

// notifyChanged wakes the goroutines that wait for changed to be closed. The caller holds mu.
func (h *Hub) notifyChanged() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Receive handles an update from the next process. If the queue of received lists is full, Receive drops all of them, and this
// process watches the source itself.
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

// PeerGone records that there is no longer a next process.
func (h *Hub) PeerGone() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.follower, h.received = follower{}, nil
	h.notifyChanged()
}

// Publish sends heartbeats and the lists that this process's watch delivers to the previous process. It returns when ctx ends, when
// send fails, or when the previous process does not keep up; the previous process then watches the source itself. send may block.
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
			if update = next; !ok { // publishList has closed the queue, because the previous process does not keep up
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

// publishList passes a list of a source to each running call of Publish, without waiting for the calls. It closes the queues that
// are full.
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

// WatchOpened records that a watch of a source is open. The code that opens watches calls it.
func (h *Hub) WatchOpened(source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openSource = source
}

// watchClosed records that the watch of a source is no longer open. It has no effect if the watch of another source is open.
func (h *Hub) watchClosed(source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.openSource == source {
		h.openSource = ""
	}
}

// nextList removes and returns the next received list of a source, or nil if there is none. follows reports whether this process
// follows the next process's watch of the source. If it does and list is nil, the caller waits until changed is closed or until
// expiry.
func (h *Hub) nextList(source string) (list *member.List, expiry time.Time, changed <-chan struct{}, follows bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if expiry, follows = h.follower.follows(source, time.Now()); follows && len(h.received) > 0 {
		list = &h.received[0]
		h.received = h.received[1:]
	}
	return list, expiry, h.changed, follows
}

// followsPeer reports whether this process follows the next process's watch of a source. It also returns a channel that is closed
// when the result may have changed.
func (h *Hub) followsPeer(source string) (follows bool, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, follows = h.follower.follows(source, time.Now())
	return follows, h.changed
}

// Wrap returns a source that delivers the lists from the next process while the next process watches, and otherwise watches inner.
func (h *Hub) Wrap(inner member.Source) member.Source { return &relayedSource{Source: inner, hub: h} }

// relayedSource is a source that either follows the next process or watches the inner source.
type relayedSource struct {
	member.Source
	hub *Hub
}

// Watch implements member.Source. It returns when the watch of the inner source ends, or when ctx ends.
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

// followPeer passes the received lists to onList for as long as this process follows the next process. It then returns nil. If ctx
// ends before, followPeer returns the cause.
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

// waitForChange waits until changed is closed or until the time until, and returns nil. If ctx ends, it returns the cause.
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

// watchAlone watches the inner source until that watch ends. If the next process starts to watch, watchAlone closes the watch and
// returns errPeerWatches.
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
