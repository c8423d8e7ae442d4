package node

import (
	"context"
	"sync"
	"time"
)

// pendingReplies holds the requests of one kind whose replies are awaited, by request number. The node's lock guards it.
type pendingReplies[T any] map[uint64]chan T

// pendingReply is one awaited request. One goroutine calls await, once.
type pendingReply[T any] struct {
	request uint64
	replies <-chan T
	pending pendingReplies[T]
}

// add records a request. The caller then calls await on the result, without the lock.
func (p pendingReplies[T]) add(request uint64) pendingReply[T] {
	replies := make(chan T, 1)
	p[request] = replies
	return pendingReply[T]{request: request, replies: replies, pending: p}
}

// deliver passes a reply to the goroutine that awaits it, without blocking. It drops a reply to an unknown request or to
// one that has timed out.
func (p pendingReplies[T]) deliver(request uint64, reply T) {
	if waiting := p[request]; waiting != nil {
		delete(p, request)
		waiting <- reply
	}
}

// await waits for the reply. After the timeout, or when the context ends, it removes the request and returns false for
// ok. onTimeout, if not nil, is called with the lock held after the timeout. It is not called if the context has ended,
// because the caller has given up then and the other side need not be slow. await is called without the lock, and
// acquires it.
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
