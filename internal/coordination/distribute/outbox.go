package distribute

import (
	"maps"
	"slices"
)

// Outbox holds the reports of one member, and which coordinator has acknowledged them. Its zero value holds none. It is not safe for
// concurrent use.
type Outbox struct {
	reports      map[string]Report // by sidecar
	sequence     uint64            // counts changes
	acknowledged map[int]uint64    // by coordinator: the sequence up to which it has all reports
}

// Set replaces the report of a sidecar.
func (o *Outbox) Set(r Report) {
	if present, known := o.reports[r.Sidecar]; known && present == r {
		return
	}
	if o.reports == nil {
		o.reports, o.acknowledged = map[string]Report{}, map[int]uint64{}
	}
	o.reports[r.Sidecar] = r
	o.sequence++
}

// Sequence identifies the state that Unacknowledged returns now: it is for Acknowledge, when the call is answered.
func (o *Outbox) Sequence() uint64 { return o.sequence }

// Unacknowledged returns all reports by name, where a coordinator may lack one of them as it is now; else nil.
func (o *Outbox) Unacknowledged(server int) []Report {
	if o.sequence == o.acknowledged[server] {
		return nil
	}
	all := make([]Report, 0, len(o.reports))
	for _, name := range slices.Sorted(maps.Keys(o.reports)) {
		all = append(all, o.reports[name])
	}
	return all
}

// Acknowledge processes the response to a call that was begun at a sequence. Where the coordinator has no reports of the member, as one
// that was restarted, it gets all of them again. What was set since the sequence is still unacknowledged.
func (o *Outbox) Acknowledge(server int, sequence uint64, hasReports bool) {
	switch {
	case !hasReports:
		delete(o.acknowledged, server)
	case o.acknowledged != nil:
		o.acknowledged[server] = max(o.acknowledged[server], sequence)
	}
}
