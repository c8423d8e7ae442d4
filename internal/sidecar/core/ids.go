package core

import "time"

// ids are those of requests in the table, and of those whose time is not up yet: a copy that comes late must not run
// either. They are forgotten in batches, each when the last of it may be.
type ids struct {
	held    map[string]struct{}
	start   time.Time
	batches map[int64][]string // by the number of the batch
	next    time.Time          // when a batch may be due; zero: there is none
}

// batch is how much longer than it must an id may be held.
const batch = 250 * time.Millisecond

func newIDs() ids {
	return ids{held: map[string]struct{}{}, start: time.Now(), batches: map[int64][]string{}}
}

// take holds an id; false: it is held already.
func (i *ids) take(id string) bool {
	if _, held := i.held[id]; held {
		return false
	}
	i.held[id] = struct{}{}
	return true
}

// until has an id forgotten soon after a moment.
func (i *ids) until(id string, end time.Time) {
	n := int64(end.Sub(i.start)/batch) + 1
	i.batches[n] = append(i.batches[n], id)
	i.next = earlier(i.next, i.end(n))
}

func (i *ids) end(n int64) time.Time { return i.start.Add(time.Duration(n) * batch) }

// all is the ids that are no request's any more, with the moment until which they are held.
func (i *ids) all() map[string]time.Time {
	all := map[string]time.Time{}
	for n, batch := range i.batches {
		for _, id := range batch {
			all[id] = i.end(n)
		}
	}
	return all
}

// forget drops what is due.
func (i *ids) forget(now time.Time) {
	if i.next.IsZero() || now.Before(i.next) {
		return
	}
	i.next = time.Time{}
	for n, all := range i.batches {
		if end := i.end(n); now.Before(end) {
			i.next = earlier(i.next, end)
			continue
		}
		for _, id := range all {
			delete(i.held, id)
		}
		delete(i.batches, n)
	}
}
