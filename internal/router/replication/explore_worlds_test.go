package replication

import (
	"strings"
)

// Two more zones: d and e are added. c's zone has a second machine: d replaces c, with which a has had no contact for
// long.
var (
	joiningZones     = map[string]string{"a": "1", "b": "2", "c": "3", "d": "4", "e": "5"}
	replacementZones = map[string]string{"a": "1", "b": "2", "c": "3", "d": "3"}
)

func replacementWorld(left budget) *world {
	w := newWorld(left, replacementZones)
	w.loseContact("a", "c")
	return w
}

// abandonedWorld is a replacement whose first view was proposed by a, which stepped down with that view on its own disk
// alone.
func abandonedWorld(left budget) *world {
	w := replacementWorld(budget{candidacies: 1})
	for _, name := range []string{"a campaigns", "a>b Prepare", "a>d Prepare", "a waits no longer", "a>b Sync", "a>d Sync"} {
		w.playStep(name)
	}
	if accepted := w.nodes["a"].replica.hard.Accepted; !accepted.joint() {
		panic("a proposed nothing: " + w.nodes["a"].replica.Status())
	}
	w.node("a").replica.stepDown()
	clear(w.inFlight)
	w.remaining, w.trace = left, nil
	return w
}

// overtakenWorld continues from an abandoned view: b, which does not know of it, has become primary with c, and an
// entry was acknowledged. a knows of a later epoch.
func overtakenWorld(left budget) *world {
	w := abandonedWorld(budget{candidacies: 1, writes: 1})
	for _, name := range []string{"b campaigns", "b>c Prepare", "b waits no longer", "b>c Sync", "b>c Accept", "b commits an entry", "b>c Replicate"} {
		w.playStep(name)
	}
	if len(w.committed) != 1 {
		panic("no entry was acknowledged: " + w.nodes["b"].replica.Status())
	}
	w.node("a").replica.hard.Promised.Round = w.nodes["b"].replica.hard.Promised.Round
	w.remaining, w.trace = left, nil
	return w
}

// jointWorld continues from a replacement that is in force, which b has accepted and does not know to be; a and d have
// moved to another view without b, and an entry was acknowledged there.
func jointWorld(left budget) *world {
	w := replacementWorld(budget{candidacies: 2, writes: 1})
	for _, name := range []string{"a campaigns", "a>b Prepare", "a>d Prepare", "a waits no longer", "a>b Sync", "a>d Sync", "a>b Accept",
		"a campaigns", "a>d Prepare", "a waits no longer", "a>d Sync", "a>d Accept", "a commits an entry", "a>d Replicate"} {
		w.playStep(name)
	}
	if b := w.nodes["b"].replica.hard.Accepted; len(w.committed) != 1 || !b.joint() || b.Epoch == w.nodes["a"].replica.hard.Accepted.Epoch {
		panic("no entry was acknowledged after a joint view: " + w.nodes["a"].replica.Status())
	}
	clear(w.inFlight)
	w.remaining, w.trace = left, nil
	return w
}

// playStep does the first step whose name has a prefix.
func (w *world) playStep(name string) {
	for _, s := range w.steps() {
		if strings.HasPrefix(strings.ReplaceAll(s.name, "replication.", ""), name) {
			s.do(w)
			return
		}
	}
	panic("no such step: " + name)
}

func explorations() map[string]*world {
	return map[string]*world{
		"replaced, two candidacies":           replacementWorld(budget{candidacies: 2}),
		"replaced, two candidacies, an order": replacementWorld(budget{candidacies: 2, writes: 1}),
		"replaced, a lost disk":               replacementWorld(budget{candidacies: 2, wipes: 1}),
		"replaced, a restart":                 replacementWorld(budget{candidacies: 2, restarts: 1}),
		"replaced, a late view":               replacementWorld(budget{candidacies: 2, lateRequests: 1}),
		"abandoned, one candidacy":            abandonedWorld(budget{candidacies: 1, writes: 1}),
		"abandoned, two candidacies":          abandonedWorld(budget{candidacies: 2}),
		"overtaken, one candidacy":            overtakenWorld(budget{candidacies: 1, writes: 1, lateRequests: 1}),
		"overtaken, two candidacies":          overtakenWorld(budget{candidacies: 2}),
		"joint in force, one candidacy":       jointWorld(budget{candidacies: 1, writes: 1}),
		"joint in force, two candidacies":     jointWorld(budget{candidacies: 2}),
		"two join, one candidacy":             newWorld(budget{candidacies: 1, writes: 1}, joiningZones),
		"two join, two candidacies":           newWorld(budget{candidacies: 2}, joiningZones),
		"one behind, two candidacies":         threeWithOneBehind(budget{candidacies: 2, writes: 1}),
		"a late state, one candidacy":         threeWithLateState(budget{candidacies: 1, lateRequests: 1}),
		"five, one candidacy":                 coreOfFive(budget{candidacies: 1}),
		"five, one candidacy, an order":       coreOfFive(budget{candidacies: 1, writes: 1}),
		"five, two candidacies":               coreOfFive(budget{candidacies: 2}),
		"five, a lost disk":                   coreOfFive(budget{candidacies: 1, wipes: 1}),
		"five, a restart":                     coreOfFive(budget{candidacies: 1, restarts: 1}),
		"five, one is replaced":               fiveReplaced(budget{candidacies: 1}),
		"five, after a joint view":            fiveAfterJoint(budget{candidacies: 1}),
		"six, one candidacy":                  coreOfSix(budget{candidacies: 1}),
	}
}

// Cores of the sizes that operators run. a is the primary, a and b may campaign; the others differ by name only, but for f
// where it joins.
var (
	zonesOfFive = map[string]string{"a": "1", "b": "2", "c": "3", "d": "4", "e": "5"}
	zonesOfSix  = map[string]string{"a": "1", "b": "2", "c": "3", "d": "4", "e": "5", "f": "6"}
	// f is in e's zone: it replaces e, which is lost.
	zonesOfFiveAndOne = map[string]string{"a": "1", "b": "2", "c": "3", "d": "4", "e": "5", "f": "5"}
)

// coreOfFive bears the loss of two.
func coreOfFive(left budget) *world {
	return newCore(left, &coreLayout{zones: zonesOfFive, members: []string{"a", "b", "c", "d", "e"}, faultTolerance: 2,
		candidates: []string{"a", "b"}, renamings: alike([]string{"c", "d", "e"})})
}

func coreOfSix(left budget) *world {
	return newCore(left, &coreLayout{zones: zonesOfSix, members: []string{"a", "b", "c", "d", "e", "f"}, faultTolerance: 2,
		candidates: []string{"a", "b"}, renamings: alike([]string{"c", "d", "e", "f"})})
}

// fiveReplaced bears the loss of two, and f is about to replace e by a joint view.
func fiveReplaced(left budget) *world {
	w := newCore(left, &coreLayout{zones: zonesOfFiveAndOne, members: []string{"a", "b", "c", "d", "e"}, faultTolerance: 2,
		candidates: []string{"a", "b"}, renamings: alike([]string{"c", "d"})})
	w.loseContact("a", "e")
	return w
}

// fiveAfterJoint is a core of five of which one disk may be lost, so that a view's in-sync set need not meet each majority:
// f has replaced e by a view that is in force, and that b and c accepted and do not know to be; a, d and f have moved to
// another view, and an entry was acknowledged there. A majority of the members before, b, c and e, knows nothing of it.
func fiveAfterJoint(left budget) *world {
	w := newCore(budget{candidacies: 2, writes: 1}, &coreLayout{zones: zonesOfFiveAndOne, members: []string{"a", "b", "c", "d", "e"}, faultTolerance: 1,
		candidates: []string{"a", "b"}, renamings: alike([]string{"d", "f"})})
	w.loseContact("a", "e")
	for _, name := range []string{"a campaigns", "a>b Prepare", "a>c Prepare", "a>d Prepare", "a>f Prepare", "a waits no longer",
		"a>b Sync", "a>c Sync", "a>d Sync", "a>f Sync", "a>b Accept", "a>c Accept",
		"a campaigns", "a>d Prepare", "a>f Prepare", "a waits no longer", "a>d Sync", "a>f Sync", "a>d Accept", "a>f Accept",
		"a commits an entry", "a>d Replicate", "a>f Replicate"} {
		w.playStep(name)
	}
	if b := w.nodes["b"].replica.hard.Accepted; len(w.committed) != 1 || !b.joint() || b.Epoch == w.nodes["a"].replica.hard.Accepted.Epoch {
		panic("no entry was acknowledged after a joint view: " + w.nodes["a"].replica.Status())
	}
	clear(w.inFlight)
	w.layout.candidates = []string{"b"}
	w.remaining, w.trace = left, nil
	return w
}

// loseContact has a primary have had no contact with a member for long: a newcomer of the member's zone replaces it.
func (w *world) loseContact(primaryAddress, member string) {
	r := w.node(primaryAddress).replica
	r.leadership.viewSince, r.leadership.primarySince = 0, 0
	gone := r.leadership.statuses[member]
	gone.lastContact = 0
	r.leadership.statuses[member] = gone
}

// threeWithOneBehind is a core of three in which a and b are in sync, and c is not: b and c may campaign.
func threeWithOneBehind(left budget) *world {
	return newCore(left, &coreLayout{zones: map[string]string{"a": "1", "b": "2", "c": "3"}, members: []string{"a", "b", "c"}, behind: []string{"c"},
		faultTolerance: 1, candidates: []string{"b", "c"}})
}

// threeWithLateState is a core of three in which b, the primary, sent c its complete state when it was elected, and has
// committed an entry with c since. The state may arrive at c again. a has neither.
func threeWithLateState(left budget) *world {
	w := newCore(budget{candidacies: 1, writes: 1, lateRequests: 1}, &coreLayout{zones: map[string]string{"a": "1", "b": "2", "c": "3"},
		members: []string{"a", "b", "c"}, behind: []string{"c"}, snapshot: true, lateSyncs: true, faultTolerance: 1, candidates: []string{"b", "c"}})
	for _, name := range []string{"b campaigns", "b>c Prepare", "b waits no longer", "b>c Sync", "b>c Accept", "b commits an entry", "b>c Replicate"} {
		w.playStep(name)
	}
	if len(w.committed) != 2 {
		panic("no entry was acknowledged: " + w.nodes["b"].replica.Status())
	}
	w.remaining, w.trace = left, nil
	return w
}
