// Package membudget bounds the memory that a process uses for messages: request bodies that arrive, and responses that are buffered.
// Code that needs memory reserves it first. Where none is left it passes on what it has, waits for a bounded time, or refuses the
// request. A reservation is granted completely or not at all, so nobody waits while holding a part of what one call asked for.
//
// Invariants: reservations never exceed the limit; waiting ones are granted in the order in which they were made, so that a large
// one is not overtaken for ever by small ones.
package membudget

import (
	"container/list"
	"context"
	"sync"
)

// Budget is a limit and its reservations. The zero value has no limit. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	limit    int64 // bytes; 0: no limit
	reserved int64
	waiters  list.List // of *waiter, the first to be granted first
}

// waiter is a reservation that waits.
type waiter struct {
	bytes   int64
	granted chan struct{} // closed when they are reserved for it
}

// New returns a budget of a number of bytes; 0 is no limit.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// fits reports whether n more bytes are within the limit. The caller holds mu.
func (b *Budget) fits(n int64) bool { return b.limit <= 0 || n <= b.limit-b.reserved }

// TryAcquire reserves n bytes, if they are free now and nobody waits for them.
func (b *Budget) TryAcquire(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiters.Len() > 0 || !b.fits(n) {
		return false
	}
	b.reserved += n
	return true
}

// Acquire reserves n bytes as soon as they are free. It returns false, with nothing reserved, where ctx ends first or n exceeds the
// limit.
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
	case <-w.granted: // granted at the same moment
		b.reserved -= n
	default:
		b.waiters.Remove(element)
	}
	b.grant() // what waited behind it
	return false
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= n
	b.grant()
}

// grant grants waiting reservations in their order, as far as there is memory. The caller holds mu.
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
