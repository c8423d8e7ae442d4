// Package membudget is the account of the bytes that a process holds of messages: bodies on their way in, answers that are held
// back. Whoever wants to hold more asks first, and whoever finds no room passes on what he has, waits for a bounded time, or is
// refused; nobody takes less than he asked for, so none waits while he holds a part of what he asked for in one call.
//
// Invariants: what is held never exceeds the bound; who waits is served in the order of coming, so that a large wish is not
// overtaken for ever by small ones.
package membudget

import (
	"container/list"
	"context"
	"sync"
)

// Budget is an account. Its zero value has no bound.
type Budget struct {
	mu   sync.Mutex
	most int64 // bytes; 0: no bound
	held int64
	wait list.List // of *waiter
}

type waiter struct {
	n    int64
	have chan struct{} // closed when n is held for it
}

// New makes an account with a bound; 0 is none.
func New(most int64) *Budget { return &Budget{most: most} }

func (r *Budget) fits(n int64) bool { return r.most <= 0 || n <= r.most-r.held }

// TryAcquire holds n bytes more, if there is room now and nobody waits for it.
func (r *Budget) TryAcquire(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wait.Len() > 0 || !r.fits(n) {
		return false
	}
	r.held += n
	return true
}

// Acquire holds n bytes more, as soon as there is room. Where ctx ends first, or n is more than there ever is, it holds nothing
// and is false.
func (r *Budget) Acquire(ctx context.Context, n int64) bool {
	r.mu.Lock()
	if r.wait.Len() == 0 && r.fits(n) {
		r.held += n
		r.mu.Unlock()
		return true
	}
	if r.most > 0 && n > r.most {
		r.mu.Unlock()
		return false
	}
	w := &waiter{n: n, have: make(chan struct{})}
	at := r.wait.PushBack(w)
	r.mu.Unlock()
	select {
	case <-w.have:
		return true
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-w.have: // at the same moment
		r.held -= n
	default:
		r.wait.Remove(at)
	}
	r.serve() // whoever stood behind it
	return false
}

// Release holds n bytes less.
func (r *Budget) Release(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held -= n
	r.serve()
}

// serve lets in those that wait, in their order. The caller holds mu.
func (r *Budget) serve() {
	for e := r.wait.Front(); e != nil && r.fits(e.Value.(*waiter).n); e = r.wait.Front() {
		w := r.wait.Remove(e).(*waiter)
		r.held += w.n
		close(w.have)
	}
}

// Held is how many bytes are held.
func (r *Budget) Held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}
