package node

import (
	"context"
	"sync"
	"time"
)

// pendingReplies are the requests of one kind whose replies goroutines wait for, by request number. The node's lock
// guards it.
type pendingReplies[T any] map[uint64]chan T

// pendingReply is one of these requests.
type pendingReply[T any] struct {
	request uint64
	replies <-chan T
	pending pendingReplies[T]
}

// add records a request. Its caller then awaits the reply.
func (p pendingReplies[T]) add(request uint64) pendingReply[T] {
	replies := make(chan T, 1)
	p[request] = replies
	return pendingReply[T]{request: request, replies: replies, pending: p}
}

// deliver passes on a reply. One that nobody waits for, or not any more, is dropped.
func (p pendingReplies[T]) deliver(request uint64, reply T) {
	if waiting := p[request]; waiting != nil {
		delete(p, request)
		waiting <- reply
	}
}

// await waits for the reply until a time-out or the context's end; then the request is removed and ok is false.
// onTimeout, where it is not nil, is called with the lock held after a time-out, but not where the context has ended:
// the caller gave up then, and the other side need not be slow. await is called without the lock, and acquires it.
func (r pendingReply[T]) await(ctx context.Context, lock sync.Locker, timeout time.Duration, onTimeout func()) (reply T, ok bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case reply = <-r.replies:
		return reply, true
	case <-timer.C:
	case <-ctx.Done():
	}
	lock.Lock()
	defer lock.Unlock()
	delete(r.pending, r.request)
	if onTimeout != nil && ctx.Err() == nil {
		onTimeout()
	}
	return reply, false
}
