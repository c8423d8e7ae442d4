package core

import "time"

// ids holds the trace ids that must not be accepted: those of requests in the table, and those of earlier requests whose deadline
// has not passed, since a late copy of a request must not be executed either. The ids of earlier requests are released in
// batches; a batch is released when the last of its ids has expired.
type ids struct {
	reserved   map[string]struct{}
	start      time.Time
	batches    map[int64][]string // by batch number
	nextExpiry time.Time          // when the first batch may expire; zero if there is no batch
}

// batchInterval is the length of time that a batch covers. An id stays reserved for at most this much longer than necessary.
const batchInterval = 250 * time.Millisecond

func newIDs() ids {
	return ids{reserved: map[string]struct{}{}, start: time.Now(), batches: map[int64][]string{}}
}

// reserve reserves an id. It returns false if the id is reserved already.
func (i *ids) reserve(id string) bool {
	if _, reserved := i.reserved[id]; reserved {
		return false
	}
	i.reserved[id] = struct{}{}
	return true
}

// releaseAt schedules the release of a reserved id for the end of the batch in which expiry lies.
func (i *ids) releaseAt(id string, expiry time.Time) {
	n := int64(expiry.Sub(i.start)/batchInterval) + 1
	i.batches[n] = append(i.batches[n], id)
	i.nextExpiry = earlier(i.nextExpiry, i.batchEnd(n))
}

// batchEnd returns when the batch with a number expires.
func (i *ids) batchEnd(n int64) time.Time { return i.start.Add(time.Duration(n) * batchInterval) }

// expiries returns the ids of requests that are no longer in the table, each with the time until which it is reserved.
func (i *ids) expiries() map[string]time.Time {
	expiries := map[string]time.Time{}
	for n, batch := range i.batches {
		for _, id := range batch {
			expiries[id] = i.batchEnd(n)
		}
	}
	return expiries
}

// releaseExpired releases the batches that have expired.
func (i *ids) releaseExpired(now time.Time) {
	if i.nextExpiry.IsZero() || now.Before(i.nextExpiry) {
		return
	}
	i.nextExpiry = time.Time{}
	for n, batch := range i.batches {
		if end := i.batchEnd(n); now.Before(end) {
			i.nextExpiry = earlier(i.nextExpiry, end)
			continue
		}
		for _, id := range batch {
			delete(i.reserved, id)
		}
		delete(i.batches, n)
	}
}
