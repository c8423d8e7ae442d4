package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/member"
)

// Snapshot is the state that one process of a sidecar hands over to the next: the list with its generation, the ids that must not
// be accepted again, and the statistics that the module has learned. It does not contain open requests, because each process
// answers those that it has accepted. Its JSON form is read by processes of other versions.
type Snapshot struct {
	Source string               `json:"Source"` // the name of the source of List
	List   member.List          `json:"List"`
	IDs    map[string]time.Time `json:"IDs"` // until when each id is reserved, including those of open requests
	Module balance.Snapshot     `json:"Module"`
	Names  *Names               `json:"Names"` // for the positions in Module; nil if the version that wrote the snapshot recorded none
}

// Names holds the names of the classes, zones and kinds that the module knows only by their positions.
type Names struct {
	Classes []string `json:"Classes"`
	Zones   []string `json:"Zones"`
	Kinds   []string `json:"Kinds"`
	// Rules holds the effect, group and window of each class. It is empty if the version that wrote the snapshot
	// recorded no rules.
	Rules []string `json:",omitempty"`
}

// classRules returns the rules of each class as a string, so that they can be compared with the rules of another process.
func classRules(classes []balance.Class) []string {
	var rules []string
	for _, c := range classes {
		rules = append(rules, fmt.Sprintf("%d/%d/%g", c.Effect, c.Group, c.Window))
	}
	return rules
}

// remapSnapshot moves the statistics of each class, zone and kind to the position that its name has in this process. It drops the
// statistics of names that this process does not have and of classes whose rules differ. If the previous version recorded no names,
// all positions are kept if the number of classes is the same; otherwise everything is dropped.
func remapSnapshot(learned balance.Snapshot, previous *Names, current Names) balance.Snapshot {
	if previous == nil {
		if len(learned.Classes) != len(current.Classes) {
			learned.Classes, learned.Zones, learned.Kinds = nil, nil, nil
		}
		return learned
	}
	if previous.equal(current) {
		return learned
	}
	learned.Classes = remapClasses(learned.Classes, previous, current)
	learned.Zones = remapPositions(learned.Zones, previous.Zones, current.Zones)
	learned.Kinds = remapPositions(learned.Kinds, previous.Kinds, current.Kinds)
	return learned
}

// equal reports whether each position has the same meaning in n and other. Rules are compared only if n has them.
func (n *Names) equal(other Names) bool {
	sameRules := len(n.Rules) == 0 || slices.Equal(n.Rules, other.Rules)
	return sameRules && slices.Equal(n.Classes, other.Classes) && slices.Equal(n.Zones, other.Zones) && slices.Equal(n.Kinds, other.Kinds)
}

// remapClasses moves the statistics of each class to its position in current. It drops them if current lacks the class or has
// different rules for it. Rules are compared only if previous has them.
func remapClasses(learned []balance.ClassSnapshot, previous *Names, current Names) []balance.ClassSnapshot {
	sameRules := func(from, to int) bool {
		return from >= len(previous.Rules) || to < len(current.Rules) && previous.Rules[from] == current.Rules[to]
	}
	remapped := make([]balance.ClassSnapshot, len(current.Classes))
	for from, class := range learned {
		if to, ok := newPosition(from, previous.Classes, current.Classes); ok && to < len(remapped) && sameRules(from, to) {
			remapped[to] = class
		}
	}
	return remapped
}

// remapPositions moves each value to the position that its name has in current, and drops the values whose name is not in current.
func remapPositions(values map[int]float64, previous, current []string) map[int]float64 {
	remapped := map[int]float64{}
	for from, value := range values {
		if to, ok := newPosition(from, previous, current); ok {
			remapped[to] = value
		}
	}
	return remapped
}

// newPosition returns the position in current of the name at position from in previous. If both lists are empty, the only valid
// position is 0, which stays the same.
func newPosition(from int, previous, current []string) (to int, ok bool) {
	if len(previous) == 0 && len(current) == 0 {
		return from, from == 0
	}
	if from < 0 || from >= len(previous) {
		return 0, false
	}
	to = slices.Index(current, previous[from])
	return to, to >= 0
}

// Snapshot calls encode in the loop's goroutine with the state that the core would hand over now, and waits until encode has
// returned. encode must not keep the snapshot, which shares memory with the loop. Snapshot returns false if the loop has ended.
func (l *Loop) Snapshot(encode func(Snapshot)) (ok bool) {
	done := make(chan struct{})
	l.post(func() {
		defer close(done)
		list := member.List{Generation: l.cursor.Generation(), Complete: true}
		for _, id := range slices.Sorted(maps.Keys(l.instances)) {
			list.Instances = append(list.Instances, l.instances[id])
		}
		ids := l.ids.expiries()
		for _, r := range l.requests {
			ids[r.TraceID] = r.deadline
		}
		encode(Snapshot{Source: l.source.Name(), List: list, IDs: ids, Module: l.balancer.Snapshot(), Names: l.names()})
	})
	select {
	case <-done:
		return true
	case <-l.ended:
		return false
	}
}

// names returns the names of this process, with the rules of its classes.
func (l *Loop) names() *Names {
	n := l.config.Names
	n.Rules = classRules(l.config.Module.Classes)
	return &n
}

// restore reserves the ids of the previous process and restores the statistics that its module had learned. It runs before the
// first request.
func (l *Loop) restore(previous *Snapshot) {
	for id, expiry := range previous.IDs {
		if expiry.After(time.Now()) && l.ids.reserve(id) {
			l.ids.releaseAt(id, expiry)
		}
	}
	recorded, current := previous.Names, l.names()
	if recorded != nil && len(recorded.Rules) > 0 && (!slices.Equal(recorded.Classes, current.Classes) || !slices.Equal(recorded.Rules, current.Rules)) {
		l.log.Info("the classes have changed: learned statistics are kept for those with the same name, effect, group and window",
			"before", recorded.Classes, "now", current.Classes)
	}
	l.balancer.Restore(remapSnapshot(previous.Module, previous.Names, *current))
}
