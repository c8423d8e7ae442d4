package node

import (
	"context"
	"time"
)

// pendingReplies are the requests of one kind that a goroutine waits for the reply to, by request number. The node's lock guards it.
type pendingReplies[T any] map[uint64]chan T

// add records a request and returns the channel on which its reply comes.
func (p pendingReplies[T]) add(request uint64) <-chan T {
	reply := make(chan T, 1)
	p[request] = reply
	return reply
}

// deliver passes on a reply. One that nobody waits for, or not any more, is dropped.
func (p pendingReplies[T]) deliver(request uint64, reply T) {
	if waiting := p[request]; waiting != nil {
		delete(p, request)
		waiting <- reply
	}
}

// awaitReply waits for the reply to a request of pending, until a time-out or the context's end; then the request is removed and ok is false.
// onTimeout, where it is not nil, is called with the lock held after a time-out, but not where the context has ended: the caller gave up
// then, and the other side need not be slow. It is called without the lock, and acquires it.
func awaitReply[T any](ctx context.Context, n *Node, pending pendingReplies[T], request uint64, replies <-chan T, timeout time.Duration, onTimeout func()) (reply T, ok bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case reply = <-replies:
		return reply, true
	case <-timer.C:
	case <-ctx.Done():
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(pending, request)
	if onTimeout != nil && ctx.Err() == nil {
		onTimeout()
	}
	return reply, false
}
