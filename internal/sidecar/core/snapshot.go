package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/member"
)

// Snapshot is what one process of a sidecar hands to the next: the list with its generation, the ids that must not be taken
// again, and what the module has learned. Nothing of a request that is open: each process answers what it took.
type Snapshot struct {
	Source string // the name of the source that the list is of
	List   member.List
	IDs    map[string]time.Time // until when; those of open requests as well
	Module balance.Snapshot
	Names  *Names // that the positions in Module stand for; nil: of a version that does not tell
}

// Names are those of positions in the module.
type Names struct {
	Classes, Zones, Kinds []string
	// Rules are those of each class: its effect, group and window; none: of a version that does not tell.
	Rules []string `json:",omitempty"`
}

// rules are those of classes, as a text to be compared.
func rules(classes []balance.Class) (all []string) {
	for _, c := range classes {
		all = append(all, fmt.Sprintf("%d/%d/%g", c.Effect, c.Group, c.Window))
	}
	return all
}

// placed is what was learned, at the positions that its names have in another process. What has no name there, or is of a class with
// other rules, is left out. Where a version before did not tell its names, positions stand for themselves if there are as many,
// and are left out if not.
func placed(m balance.Snapshot, was *Names, now Names) balance.Snapshot {
	if was == nil {
		if len(m.Classes) != len(now.Classes) {
			m.Classes, m.Zones, m.Kinds = nil, nil, nil
		}
		return m
	}
	same := len(was.Rules) == 0 || slices.Equal(was.Rules, now.Rules)
	if same && slices.Equal(was.Classes, now.Classes) && slices.Equal(was.Zones, now.Zones) && slices.Equal(was.Kinds, now.Kinds) {
		return m
	}
	alike := func(i, at int) bool {
		return i >= len(was.Rules) || at < len(now.Rules) && was.Rules[i] == now.Rules[at]
	}
	classes := make([]balance.ClassSnapshot, len(now.Classes))
	for i, c := range m.Classes {
		if at, ok := place(i, was.Classes, now.Classes); ok && at < len(classes) && alike(i, at) {
			classes[at] = c
		}
	}
	m.Classes = classes
	move := func(all map[int]float64, was, now []string) map[int]float64 {
		moved := map[int]float64{}
		for i, v := range all {
			if at, ok := place(i, was, now); ok {
				moved[at] = v
			}
		}
		return moved
	}
	m.Zones, m.Kinds = move(m.Zones, was.Zones, now.Zones), move(m.Kinds, was.Kinds, now.Kinds)
	return m
}

// place is where a position's name is now; position 0 stands for all where there are no names.
func place(i int, was, now []string) (at int, ok bool) {
	if len(was) == 0 && len(now) == 0 {
		return i, i == 0
	}
	if i < 0 || i >= len(was) {
		return 0, false
	}
	at = slices.Index(now, was[i])
	return at, at >= 0
}

// Snapshot is what the core would hand over now; ok is false where it has ended. It is read by encode in the loop, since some of
// it is the loop's own.
func (l *Loop) Snapshot(encode func(Snapshot)) (ok bool) {
	done := make(chan struct{})
	l.post(func() {
		defer close(done)
		whole := member.List{Generation: l.cursor.Generation(), Complete: true}
		for _, id := range slices.Sorted(maps.Keys(l.listed)) {
			whole.Instances = append(whole.Instances, l.listed[id])
		}
		ids := l.ids.all()
		for _, r := range l.requests {
			ids[r.TraceID] = r.deadline
		}
		encode(Snapshot{Source: l.source.Name(), List: whole, IDs: ids, Module: l.b.Snapshot(), Names: l.names()})
	})
	select {
	case <-done:
		return true
	case <-l.ended:
		return false
	}
}

// names are those of this process, with the rules of its classes.
func (l *Loop) names() *Names {
	n := l.config.Names
	n.Rules = rules(l.config.Module.Classes)
	return &n
}

// inherit goes on where the process before was, in the loop before anything else.
func (l *Loop) inherit(from *Snapshot) {
	for id, until := range from.IDs {
		if until.After(time.Now()) && l.ids.take(id) {
			l.ids.until(id, until)
		}
	}
	now := l.names()
	was := from.Names
	if was != nil && len(was.Rules) > 0 && !(slices.Equal(was.Classes, now.Classes) && slices.Equal(was.Rules, now.Rules)) {
		l.log.Info("other settings than before: learned times are taken where class, effect and window agree",
			"before", was.Classes, "now", now.Classes)
	}
	l.b.Restore(placed(from.Module, from.Names, *now))
}
