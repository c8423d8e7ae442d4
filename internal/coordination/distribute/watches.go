package distribute

import (
	"container/heap"
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrStale says that this coordinator cannot confirm that it knows everything that was committed. The agent asks another one.
var ErrStale = errors.New("this coordinator has had no confirmation by a leader lately: " +
	"it may not know the newest version; ask another one")

// Check returns what is wrong with a watch. The error names the field and says what to write.
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

// Watches are the calls of agents that wait at one coordinator. Moments are of its own steady clock, which runs on while the process is
// stopped. They belong to one goroutine; the done functions are called on it, and may add and cancel watches.
//
// Each call gets one response. A change costs the calls of that service that wait, a tick those whose deadline has passed, each with the
// logarithm of all that wait.
type Watches struct {
	newest        func(service string) (Version, bool)
	freshFor      time.Duration
	confirmedAt   time.Duration // when the last confirmation was requested
	everConfirmed bool
	byDeadline    watchHeap
	byService     map[string][]*pendingWatch
}

type pendingWatch struct {
	watch        Watch
	done         func(WatchResponse, error)
	deadline     time.Duration // when it is answered that there is nothing newer
	heapIndex    int           // in byDeadline; -1: it was removed
	serviceIndex int           // among those of its service
	ended        bool          // it is answered, or was cancelled
}

// NewWatches returns the watches of a coordinator without any calls, and without a confirmation. newest returns a service's newest version;
// what it returns counts as fresh for a time after the moment at which the last confirmation was requested.
func NewWatches(newest func(service string) (Version, bool), freshFor time.Duration) *Watches {
	return &Watches{newest: newest, freshFor: freshFor, byService: map[string][]*pendingWatch{}}
}

// Add adds a watch that was checked. done is called exactly once, now or later; never after cancel. The version that it gets is
// shared: it is only to be read. ReportsReceived is left to the caller.
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
	watch.Reports = nil // the caller has recorded them: what waits is small
	pending := &pendingWatch{watch: watch, done: done, deadline: now + min(watch.MaxWait, MaxWatchWait)}
	pending.serviceIndex = len(w.byService[watch.Service])
	w.byService[watch.Service] = append(w.byService[watch.Service], pending)
	heap.Push(&w.byDeadline, pending)
	return func() {
		w.remove(pending)
		pending.ended = true
	}
}

// Changed answers the calls that wait for a service with its newest version.
func (w *Watches) Changed(now time.Duration, service string) {
	w.expire(now)
	w.answerNewer(service, slices.Clone(w.byService[service]))
}

// ChangedAll answers all calls for whose service there is a newer version: a snapshot was restored.
func (w *Watches) ChangedAll(now time.Duration) {
	w.expire(now)
	for _, pending := range slices.Clone(w.byDeadline) { // not by the map: the order is the same every time
		w.answerNewer(pending.watch.Service, []*pendingWatch{pending})
	}
}

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

// Confirmed records a confirmation by the leader: the register holds everything that was committed at requestedAt.
func (w *Watches) Confirmed(requestedAt time.Duration) {
	if !w.everConfirmed || requestedAt > w.confirmedAt {
		w.everConfirmed, w.confirmedAt = true, requestedAt
	}
}

// Fresh reports whether calls may be answered: the last confirmation is recent enough.
func (w *Watches) Fresh(now time.Duration) bool {
	return w.everConfirmed && now-w.confirmedAt < w.freshFor
}

// Tick answers the calls whose deadline has passed, and all with ErrStale where the coordinator is not fresh any more.
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

// NextDeadline returns when to tick next; ok is false where nothing waits.
func (w *Watches) NextDeadline() (at time.Duration, ok bool) {
	if len(w.byDeadline) == 0 {
		return 0, false
	}
	return min(w.byDeadline[0].deadline, w.confirmedAt+w.freshFor), true
}

// Waiting returns how many calls wait.
func (w *Watches) Waiting() int { return len(w.byDeadline) }

// expire answers all calls that wait where the coordinator is not fresh any more.
func (w *Watches) expire(now time.Duration) {
	if !w.Fresh(now) {
		w.answer(slices.Clone(w.byDeadline), WatchResponse{}, ErrStale)
	}
}

// answer removes all calls before it answers any: a done function may add and cancel others.
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

// remove removes a call from the heap and from those of its service, unless it was removed before.
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

// watchHeap is a heap of calls, that with the next deadline first.
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
