// Package membudget bounds the memory that a process uses for messages: arriving request bodies and buffered responses. Code that
// needs memory reserves it first. If none is left, the code forwards what it has, waits for a bounded time or refuses the
// request. A reservation is granted completely or not at all, so no call holds a part of its reservation while it waits for the
// rest.
//
// Invariants: reservations never exceed the limit; waiting reservations are granted in the order in which they were requested, so
// that small ones cannot starve a large one.
package membudget

import (
	"container/list"
	"context"
	"sync"
)

// Budget is a memory limit with its reservations. The zero value has no limit. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	limit    int64     // in bytes; 0: no limit
	reserved int64     // in bytes
	waiters  list.List // of *waiter, in the order of their requests
}

// waiter is a waiting reservation.
type waiter struct {
	bytes   int64
	granted chan struct{} // closed when the bytes are reserved
}

// New returns a budget with a limit in bytes; 0 means no limit.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// fits reports whether n more bytes are within the limit. The caller holds mu.
func (b *Budget) fits(n int64) bool { return b.limit <= 0 || n <= b.limit-b.reserved }

// TryAcquire reserves n bytes and returns true if they are free now and no other reservation waits; otherwise it returns false.
func (b *Budget) TryAcquire(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiters.Len() > 0 || !b.fits(n) {
		return false
	}
	b.reserved += n
	return true
}

// Acquire waits until n bytes are free and reserves them. It returns false, with nothing reserved, if ctx ends first or n exceeds
// the limit.
func (b *Budget) Acquire(ctx context.Context, n int64) bool {
	b.mu.Lock()
	if b.waiters.Len() == 0 && b.fits(n) {
		b.reserved += n
		b.mu.Unlock()
		return true
	}
	if b.limit > 0 && n > b.limit {
		b.mu.Unlock()
		return false
	}
	w := &waiter{bytes: n, granted: make(chan struct{})}
	element := b.waiters.PushBack(w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted: // granted at the same time as ctx ended
		b.reserved -= n
	default:
		b.waiters.Remove(element)
	}
	b.grant() // the waiters behind this one
	return false
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= n
	b.grant()
}

// grant grants waiting reservations in order until the next one does not fit. The caller holds mu.
func (b *Budget) grant() {
	for e := b.waiters.Front(); e != nil && b.fits(e.Value.(*waiter).bytes); e = b.waiters.Front() {
		w := b.waiters.Remove(e).(*waiter)
		b.reserved += w.bytes
		close(w.granted)
	}
}

// Reserved returns how many bytes are reserved.
func (b *Budget) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}
