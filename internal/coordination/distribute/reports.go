package distribute

import (
	"maps"
	"slices"
)

// Outbox is which reports of one member are still to be told to which coordinator. The zero value is one without
// any.
type Outbox struct {
	reports map[string]Report
	mark    uint64         // counts changes
	heard   map[int]uint64 // by coordinator: the mark of what it has
}

// Set takes in a sidecar's state.
func (o *Outbox) Set(r Report) {
	if was, known := o.reports[r.Sidecar]; known && was == r {
		return
	}
	if o.reports == nil {
		o.reports, o.heard = map[string]Report{}, map[int]uint64{}
	}
	o.reports[r.Sidecar] = r
	o.mark++
}

// Sequence names the state that For gives now: it is for Heard, when the call is answered.
func (o *Outbox) Sequence() uint64 { return o.mark }

// Unacknowledged is all reports, by name, where a coordinator may lack one of them as it is now; else nil.
func (o *Outbox) Unacknowledged(server int) []Report {
	if o.mark == o.heard[server] {
		return nil
	}
	all := make([]Report, 0, len(o.reports))
	for _, name := range slices.Sorted(maps.Keys(o.reports)) {
		all = append(all, o.reports[name])
	}
	return all
}

// Acknowledge takes in the answer to a call that was begun at that mark. Where the coordinator has no reports, as one
// that was begun anew, it gets all again; what was set since the mark is still to be told.
func (o *Outbox) Acknowledge(server int, mark uint64, has bool) {
	switch {
	case !has:
		delete(o.heard, server)
	case o.heard != nil:
		o.heard[server] = max(o.heard[server], mark)
	}
}
