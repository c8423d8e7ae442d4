package distribute

import (
	"maps"
	"slices"
)

// Outbox holds the reports of one member's sidecars and tracks which coordinator has acknowledged them. Its zero value is empty.
// It is not safe for concurrent use.
type Outbox struct {
	reports      map[string]Report // by sidecar
	sequence     uint64            // incremented by each change
	acknowledged map[int]uint64    // by coordinator: the sequence up to which the coordinator has all reports
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

// Sequence returns the sequence number of the current reports. The caller notes it together with Unacknowledged and passes it to
// Acknowledge when the call is answered.
func (o *Outbox) Sequence() uint64 { return o.sequence }

// Unacknowledged returns all reports, sorted by sidecar, if the coordinator may lack the current state of any; otherwise nil.
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

// Acknowledge processes the response to a call that was started at a sequence. A coordinator without reports of the member, such
// as one that was restarted, is sent all of them again. Reports set after the sequence remain unacknowledged.
func (o *Outbox) Acknowledge(server int, sequence uint64, hasReports bool) {
	switch {
	case !hasReports:
		delete(o.acknowledged, server)
	case o.acknowledged != nil:
		o.acknowledged[server] = max(o.acknowledged[server], sequence)
	}
}
