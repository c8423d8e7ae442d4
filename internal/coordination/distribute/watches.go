package distribute

import (
	"container/heap"
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrStale is returned to a watch by a coordinator that cannot confirm that it knows everything that was committed. The agent
// then calls another one.
var ErrStale = errors.New("this coordinator has had no confirmation by a leader lately: " +
	"it may not know the newest version; ask another one")

// Check returns an error if a field of the watch is invalid. The error names the field and says what to write.
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
	return checkReports(w.Reports)
}

func checkReports(reports []Report) error {
	if len(reports) > MaxReports {
		return fmt.Errorf("reports: %d; write at most %d", len(reports), MaxReports)
	}
	seen := map[string]bool{}
	for i, r := range reports {
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

// Watches holds the calls of agents that wait at one coordinator. Times are those of the coordinator's monotonic clock, which
// must also advance while the process is stopped. Watches must be used from a single goroutine. The done callbacks are called on
// it, and may add and cancel watches.
//
// Each call gets one response. With n calls waiting in total, a change takes O(log n) time for each call that waits for the
// service, and a tick takes O(log n) for each call whose deadline has passed.
type Watches struct {
	newest        func(service string) (Version, bool)
	freshFor      time.Duration
	confirmedAt   time.Duration // when the last confirmation was requested
	everConfirmed bool
	byDeadline    watchHeap
	byService     map[string][]*pendingWatch
}

// pendingWatch is a call that waits.
type pendingWatch struct {
	watch        Watch
	done         func(WatchResponse, error)
	deadline     time.Duration // when the call is answered without a newer version
	heapIndex    int           // index in byDeadline; -1: the call was removed
	serviceIndex int           // index in byService of its service
	ended        bool          // the call was answered or cancelled
}

// NewWatches returns the Watches of a coordinator that has neither calls nor a confirmation. newest returns a service's newest
// version. Its result counts as fresh until freshFor has passed since the last confirmation was requested.
func NewWatches(newest func(service string) (Version, bool), freshFor time.Duration) *Watches {
	return &Watches{newest: newest, freshFor: freshFor, byService: map[string][]*pendingWatch{}}
}

// Add adds a watch that has passed Check. done is called exactly once, during Add or later, unless cancel is called before. The
// version that it receives is shared and must not be modified. The caller sets ReportsReceived.
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
	watch.Reports = nil // the caller has recorded them; waiting calls should use little memory
	pending := &pendingWatch{watch: watch, done: done, deadline: now + min(watch.MaxWait, MaxWatchWait)}
	pending.serviceIndex = len(w.byService[watch.Service])
	w.byService[watch.Service] = append(w.byService[watch.Service], pending)
	heap.Push(&w.byDeadline, pending)
	return func() {
		w.remove(pending)
		pending.ended = true
	}
}

// Changed answers the calls that wait for a service with its newest version. It is called after the service's version has
// changed.
func (w *Watches) Changed(now time.Duration, service string) {
	w.expire(now)
	w.answerNewer(service, slices.Clone(w.byService[service]))
}

// ChangedAll answers all calls whose service has a newer version. It is called after a snapshot was restored.
func (w *Watches) ChangedAll(now time.Duration) {
	w.expire(now)
	for _, pending := range slices.Clone(w.byDeadline) { // not in the map's order, which is random
		w.answerNewer(pending.watch.Service, []*pendingWatch{pending})
	}
}

// answerNewer answers those of the calls, all of one service, that know an older version than the newest.
func (w *Watches) answerNewer(service string, all []*pendingWatch) {
	if len(all) == 0 {
		return
	}
	v, ok := w.newest(service)
	if !ok {
		return
	}
	all = slices.DeleteFunc(all, func(pending *pendingWatch) bool { return v.Revision <= pending.watch.Known })
	w.answer(all, WatchResponse{Newer: &v}, nil)
}

// Confirmed records a confirmation by the leader that the register holds everything that was committed at requestedAt.
func (w *Watches) Confirmed(requestedAt time.Duration) {
	if !w.everConfirmed || requestedAt > w.confirmedAt {
		w.everConfirmed, w.confirmedAt = true, requestedAt
	}
}

// Fresh reports whether the last confirmation is recent enough for calls to be answered.
func (w *Watches) Fresh(now time.Duration) bool {
	return w.everConfirmed && now-w.confirmedAt < w.freshFor
}

// Tick answers the calls whose deadline has passed. If the coordinator is not fresh any more, it answers all calls with ErrStale.
func (w *Watches) Tick(now time.Duration) {
	w.expire(now)
	var all []*pendingWatch
	for len(w.byDeadline) > 0 && w.byDeadline[0].deadline <= now {
		pending := w.byDeadline[0]
		w.remove(pending)
		all = append(all, pending)
	}
	w.answer(all, WatchResponse{}, nil)
}

// NextDeadline returns when to call Tick next; ok is false if no call waits.
func (w *Watches) NextDeadline() (at time.Duration, ok bool) {
	if len(w.byDeadline) == 0 {
		return 0, false
	}
	return min(w.byDeadline[0].deadline, w.confirmedAt+w.freshFor), true
}

// Waiting returns the number of waiting calls.
func (w *Watches) Waiting() int { return len(w.byDeadline) }

// expire answers all waiting calls with ErrStale if the coordinator is not fresh any more.
func (w *Watches) expire(now time.Duration) {
	if !w.Fresh(now) {
		w.answer(slices.Clone(w.byDeadline), WatchResponse{}, ErrStale)
	}
}

// answer answers calls. It removes all of them before it answers the first, because a done callback may add and cancel others.
func (w *Watches) answer(all []*pendingWatch, response WatchResponse, err error) {
	for _, pending := range all {
		w.remove(pending)
	}
	for _, pending := range all {
		if !pending.ended {
			pending.ended = true
			pending.done(response, err)
		}
	}
}

// remove removes a call from byDeadline and byService, unless it was removed before.
func (w *Watches) remove(pending *pendingWatch) {
	if pending.heapIndex < 0 {
		return
	}
	heap.Remove(&w.byDeadline, pending.heapIndex)
	service := pending.watch.Service
	waiting := w.byService[service]
	last := waiting[len(waiting)-1]
	waiting[pending.serviceIndex], last.serviceIndex = last, pending.serviceIndex
	waiting[len(waiting)-1] = nil
	if w.byService[service] = waiting[:len(waiting)-1]; len(waiting) == 1 {
		delete(w.byService, service)
	}
}

// watchHeap is a heap of calls, ordered by deadline.
type watchHeap []*pendingWatch

func (h watchHeap) Len() int           { return len(h) }
func (h watchHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h watchHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *watchHeap) Push(x any) {
	pending := x.(*pendingWatch)
	pending.heapIndex = len(*h)
	*h = append(*h, pending)
}
func (h *watchHeap) Pop() any {
	old := *h
	pending := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	pending.heapIndex = -1
	return pending
}
