package core

import (
	"maps"
	"slices"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/member"
)

// Legacy is what one process of a sidecar hands to the next: the list with its generation, the ids that must not be taken
// again, and what the module has learned. Nothing of a request that is open: each process answers what it took.
type Legacy struct {
	Source string // the name of the source that the list is of
	List   member.List
	IDs    map[string]time.Time // until when; those of open requests as well
	Module balance.Memory
}

// Legacy is what the core would hand over now; ok is false where it has ended. It is read by encode in the loop, since some of
// it is the loop's own.
func (l *Loop) Legacy(encode func(Legacy)) (ok bool) {
	done := make(chan struct{})
	l.post(func() {
		defer close(done)
		whole := member.List{Generation: l.generation, Whole: true}
		for _, id := range slices.Sorted(maps.Keys(l.listed)) {
			whole.Instances = append(whole.Instances, l.listed[id])
		}
		ids := l.ids.all()
		for _, r := range l.requests {
			ids[r.Trace] = r.deadline
		}
		encode(Legacy{Source: l.source.Name(), List: whole, IDs: ids, Module: l.b.Memory()})
	})
	select {
	case <-done:
		return true
	case <-l.ended:
		return false
	}
}

// inherit goes on where the process before was, in the loop before anything else.
func (l *Loop) inherit(from *Legacy) {
	now := time.Now()
	for id, until := range from.IDs {
		if until.After(now) && l.ids.take(id) {
			l.ids.until(id, until)
		}
	}
	l.b.Recall(from.Module)
}
