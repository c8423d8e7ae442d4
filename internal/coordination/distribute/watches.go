package distribute

import (
	"container/heap"
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrStale: this coordinator can't confirm that it knows what was committed. Ask another one.
var ErrStale = errors.New("this coordinator has had no word of a leader lately: " +
	"it may not know the newest version; ask another one")

// Check tells whether a watch is within bounds. The error names the field and says what to write.
func (w *Watch) Check() error {
	if w.Version != WireVersion {
		return fmt.Errorf("version: %d; write %d", w.Version, WireVersion)
	}
	if err := checkName("service", w.Service); err != nil {
		return err
	}
	if err := checkName("member", w.Member); err != nil {
		return err
	}
	if w.MaxWait < 0 || w.MaxWait > MaxWatchWait {
		return fmt.Errorf("hold_ns: %d; write 0 to %d", w.MaxWait, MaxWatchWait)
	}
	if len(w.Reports) > MaxReports {
		return fmt.Errorf("reports: %d; write at most %d", len(w.Reports), MaxReports)
	}
	seen := map[string]bool{}
	for i, r := range w.Reports {
		if err := checkName(fmt.Sprintf("reports[%d].sidecar", i), r.Sidecar); err != nil {
			return err
		}
		if seen[r.Sidecar] {
			return fmt.Errorf("reports[%d].sidecar: %q is there twice; write it once", i, r.Sidecar)
		}
		if seen[r.Sidecar] = true; len(r.Reason) > MaxReasonBytes {
			return fmt.Errorf("reports[%d].why: %d bytes; write at most %d", i, len(r.Reason), MaxReasonBytes)
		}
	}
	return nil
}

// Watches are the calls that wait at one coordinator. Moments are of its own steady clock, which runs on while the
// process is stopped. One goroutine owns them; what is done is called on it, and may ask and cancel.
//
// Each call gets one answer. A change costs the calls of that service that wait, a tick those that are due, each
// with the logarithm of all that wait.
type Watches struct {
	newest    func(service string) (Version, bool)
	fresh     time.Duration
	confirmed time.Duration // when the last word was asked for
	ever      bool          // there was one
	due       waiters       // by when they are due: a heap
	of        map[string][]*waiter
}

type waiter struct {
	watch  Watch
	done   func(WatchResponse, error)
	at     time.Duration // when it is answered, though nothing came
	place  int           // in due; -1: it was taken out
	among  int           // in of[its service]
	ending bool          // it is answered, or was cancelled
}

// NewWatches is a coordinator without any calls, and without a leader's word. What is told is fresh for the given
// time after the moment at which a word that came was asked for.
func NewWatches(newest func(service string) (Version, bool), fresh time.Duration) *Watches {
	return &Watches{newest: newest, fresh: fresh, of: map[string][]*waiter{}}
}

// Add takes in a watch that was checked. done is called exactly once, now or later; never after cancel. The version
// that it gets is shared: it is only to be read. Heard is left to the caller.
func (w *Watches) Add(now time.Duration, watch Watch, done func(WatchResponse, error)) (cancel func()) {
	w.expire(now)
	if !w.Fresh(now) {
		done(WatchResponse{}, ErrStale)
		return func() {}
	}
	if v, ok := w.newest(watch.Service); ok && v.Revision > watch.Known {
		done(WatchResponse{Newer: &v}, nil)
		return func() {}
	}
	if watch.MaxWait <= 0 {
		done(WatchResponse{}, nil)
		return func() {}
	}
	watch.Reports = nil // they were heard: what waits is small
	one := &waiter{watch: watch, done: done, at: now + min(watch.MaxWait, MaxWatchWait)}
	one.among = len(w.of[watch.Service])
	w.of[watch.Service] = append(w.of[watch.Service], one)
	heap.Push(&w.due, one)
	return func() {
		w.remove(one)
		one.ending = true
	}
}

// Changed tells the newest version of a service to those that wait for it.
func (w *Watches) Changed(now time.Duration, service string) {
	w.expire(now)
	w.changed(service, slices.Clone(w.of[service]))
}

// ChangedAll tells the newest versions to all that wait for one: a snapshot came in.
func (w *Watches) ChangedAll(now time.Duration) {
	w.expire(now)
	for _, one := range slices.Clone(w.due) { // not by the map: the order is the same every time
		w.changed(one.watch.Service, []*waiter{one})
	}
}

func (w *Watches) changed(service string, all []*waiter) {
	if len(all) == 0 {
		return
	}
	v, ok := w.newest(service)
	if !ok {
		return
	}
	all = slices.DeleteFunc(all, func(one *waiter) bool { return v.Revision <= one.watch.Known })
	w.answer(all, WatchResponse{Newer: &v}, nil)
}

// Confirmed takes in a leader's word, which was asked for at that moment: the register holds everything that was
// committed then.
func (w *Watches) Confirmed(asked time.Duration) {
	if !w.ever || asked > w.confirmed {
		w.ever, w.confirmed = true, asked
	}
}

// Fresh tells whether anything may be told.
func (w *Watches) Fresh(now time.Duration) bool { return w.ever && now-w.confirmed < w.fresh }

// Tick answers those that are due, and all where freshness has ended.
func (w *Watches) Tick(now time.Duration) {
	w.expire(now)
	var all []*waiter
	for len(w.due) > 0 && w.due[0].at <= now {
		one := w.due[0]
		w.remove(one)
		all = append(all, one)
	}
	w.answer(all, WatchResponse{}, nil)
}

// NextDeadline is when to tick next; false: nothing waits.
func (w *Watches) NextDeadline() (at time.Duration, ok bool) {
	if len(w.due) == 0 {
		return 0, false
	}
	return min(w.due[0].at, w.confirmed+w.fresh), true
}

// Waiting is how many wait.
func (w *Watches) Waiting() int { return len(w.due) }

// expire answers all that wait where freshness has ended.
func (w *Watches) expire(now time.Duration) {
	if !w.Fresh(now) {
		w.answer(slices.Clone(w.due), WatchResponse{}, ErrStale)
	}
}

// answer takes all out before it answers any: what is done may ask again, and cancel others.
func (w *Watches) answer(all []*waiter, told WatchResponse, err error) {
	for _, one := range all {
		w.remove(one)
	}
	for _, one := range all {
		if !one.ending {
			one.ending = true
			one.done(told, err)
		}
	}
}

// remove takes a call out of both lists, where it is in them.
func (w *Watches) remove(one *waiter) {
	if one.place < 0 {
		return
	}
	heap.Remove(&w.due, one.place)
	name := one.watch.Service
	of := w.of[name]
	last := of[len(of)-1]
	of[one.among], last.among = last, one.among
	of[len(of)-1] = nil
	if w.of[name] = of[:len(of)-1]; len(of) == 1 {
		delete(w.of, name)
	}
}

// waiters is a heap by when they are due.
type waiters []*waiter

func (h waiters) Len() int           { return len(h) }
func (h waiters) Less(i, j int) bool { return h[i].at < h[j].at }
func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *waiters) Push(x any) {
	one := x.(*waiter)
	one.place = len(*h)
	*h = append(*h, one)
}
func (h *waiters) Pop() any {
	old := *h
	one := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	one.place = -1
	return one
}
