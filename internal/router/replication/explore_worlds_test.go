package replication

import (
	"strings"
)

// In joiningZones, d and e are in two more zones, and are added. In replacementZones, d is a second machine in c's zone: it
// replaces c, with which a has had no contact for a long time.
var (
	joiningZones     = map[string]string{"a": "1", "b": "2", "c": "3", "d": "4", "e": "5"}
	replacementZones = map[string]string{"a": "1", "b": "2", "c": "3", "d": "3"}
)

func replacementWorld(allowed budget) *world {
	w := newWorld(allowed, replacementZones)
	w.loseContact("a", "c")
	return w
}

// abandonedWorld returns a replacement whose first view was proposed by a. Then a stepped down while only its own disk had
// that view.
func abandonedWorld(allowed budget) *world {
	w := replacementWorld(budget{candidacies: 1})
	for _, name := range []string{"a campaigns", "a>b Prepare", "a>d Prepare", "a stops waiting", "a>b Sync", "a>d Sync"} {
		w.playStep(name)
	}
	if accepted := w.nodes["a"].replica.hard.Accepted; !accepted.joint() {
		panic("a proposed nothing: " + w.nodes["a"].replica.Status())
	}
	w.node("a").replica.stepDown()
	clear(w.inFlight)
	w.remaining, w.trace = allowed, nil
	return w
}

// overtakenWorld continues from an abandoned view: b, which does not know of that view, has become primary with c, and an
// entry was acknowledged. a has promised an epoch with the round of b's.
func overtakenWorld(allowed budget) *world {
	w := abandonedWorld(budget{candidacies: 1, writes: 1})
	for _, name := range []string{"b campaigns", "b>c Prepare", "b stops waiting", "b>c Sync", "b>c Accept", "b commits an entry", "b>c Replicate"} {
		w.playStep(name)
	}
	if len(w.committed) != 1 {
		panic("no entry was acknowledged: " + w.nodes["b"].replica.Status())
	}
	w.node("a").replica.hard.Promised.Round = w.nodes["b"].replica.hard.Promised.Round
	w.remaining, w.trace = allowed, nil
	return w
}

// jointWorld continues from a replacement that is in force. b has accepted it but does not know that it is in force. a and d
// have moved to another view without b, and an entry was acknowledged there.
func jointWorld(allowed budget) *world {
	w := replacementWorld(budget{candidacies: 2, writes: 1})
	for _, name := range []string{"a campaigns", "a>b Prepare", "a>d Prepare", "a stops waiting", "a>b Sync", "a>d Sync", "a>b Accept",
		"a campaigns", "a>d Prepare", "a stops waiting", "a>d Sync", "a>d Accept", "a commits an entry", "a>d Replicate"} {
		w.playStep(name)
	}
	if b := w.nodes["b"].replica.hard.Accepted; len(w.committed) != 1 || !b.joint() || b.Epoch == w.nodes["a"].replica.hard.Accepted.Epoch {
		panic("no entry was acknowledged after a joint view: " + w.nodes["a"].replica.Status())
	}
	clear(w.inFlight)
	w.remaining, w.trace = allowed, nil
	return w
}

// playStep executes the first step whose name has a prefix.
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
		"replaced, two candidacies":          replacementWorld(budget{candidacies: 2}),
		"replaced, two candidacies, a write": replacementWorld(budget{candidacies: 2, writes: 1}),
		"replaced, a lost disk":              replacementWorld(budget{candidacies: 2, wipes: 1}),
		"replaced, a restart":                replacementWorld(budget{candidacies: 2, restarts: 1}),
		"replaced, a late view":              replacementWorld(budget{candidacies: 2, lateRequests: 1}),
		"abandoned, one candidacy":           abandonedWorld(budget{candidacies: 1, writes: 1}),
		"abandoned, two candidacies":         abandonedWorld(budget{candidacies: 2}),
		"overtaken, one candidacy":           overtakenWorld(budget{candidacies: 1, writes: 1, lateRequests: 1}),
		"overtaken, two candidacies":         overtakenWorld(budget{candidacies: 2}),
		"joint in force, one candidacy":      jointWorld(budget{candidacies: 1, writes: 1}),
		"joint in force, two candidacies":    jointWorld(budget{candidacies: 2}),
		"two join, one candidacy":            newWorld(budget{candidacies: 1, writes: 1}, joiningZones),
		"two join, two candidacies":          newWorld(budget{candidacies: 2}, joiningZones),
		"one behind, two candidacies":        threeWithOneOutOfSync(budget{candidacies: 2, writes: 1}),
		"a late state, one candidacy":        threeWithDuplicateSync(budget{candidacies: 1, lateRequests: 1}),
		"five, one candidacy":                coreOfFive(budget{candidacies: 1}),
		"five, one candidacy, a write":       coreOfFive(budget{candidacies: 1, writes: 1}),
		"five, two candidacies":              coreOfFive(budget{candidacies: 2}),
		"five, a lost disk":                  coreOfFive(budget{candidacies: 1, wipes: 1}),
		"five, a restart":                    coreOfFive(budget{candidacies: 1, restarts: 1}),
		"five, one is replaced":              fiveWithReplacement(budget{candidacies: 1}),
		"five, after a joint view":           fiveAfterJoint(budget{candidacies: 1}),
		"six, one candidacy":                 coreOfSix(budget{candidacies: 1}),
	}
}

// Zones of cores of the sizes that operators run. a is the primary, and a and b may campaign. The others differ by name only,
// apart from f where it joins.
var (
	zonesOfFive = map[string]string{"a": "1", "b": "2", "c": "3", "d": "4", "e": "5"}
	zonesOfSix  = map[string]string{"a": "1", "b": "2", "c": "3", "d": "4", "e": "5", "f": "6"}
	// f is in e's zone: it replaces e, which is lost.
	zonesOfFiveAndSuccessor = map[string]string{"a": "1", "b": "2", "c": "3", "d": "4", "e": "5", "f": "5"}
)

// coreOfFive tolerates the loss of two disks.
func coreOfFive(allowed budget) *world {
	return newCore(allowed, &coreLayout{zones: zonesOfFive, members: []string{"a", "b", "c", "d", "e"}, faultTolerance: 2,
		candidates: []string{"a", "b"}, renamings: symmetryRenamings([]string{"c", "d", "e"})})
}

func coreOfSix(allowed budget) *world {
	return newCore(allowed, &coreLayout{zones: zonesOfSix, members: []string{"a", "b", "c", "d", "e", "f"}, faultTolerance: 2,
		candidates: []string{"a", "b"}, renamings: symmetryRenamings([]string{"c", "d", "e", "f"})})
}

// fiveWithReplacement tolerates the loss of two disks, and f is about to replace e by a joint view.
func fiveWithReplacement(allowed budget) *world {
	w := newCore(allowed, &coreLayout{zones: zonesOfFiveAndSuccessor, members: []string{"a", "b", "c", "d", "e"}, faultTolerance: 2,
		candidates: []string{"a", "b"}, renamings: symmetryRenamings([]string{"c", "d"})})
	w.loseContact("a", "e")
	return w
}

// fiveAfterJoint is a core of five that tolerates the loss of only one disk, so that a view's in-sync set need not overlap
// every majority. f has replaced e by a view that is in force; b and c accepted it but do not know that it is in force. a, d
// and f have moved to another view, and an entry was acknowledged there. b, c and e, a majority of the previous members, do
// not know of that view.
func fiveAfterJoint(allowed budget) *world {
	w := newCore(budget{candidacies: 2, writes: 1}, &coreLayout{zones: zonesOfFiveAndSuccessor, members: []string{"a", "b", "c", "d", "e"}, faultTolerance: 1,
		candidates: []string{"a", "b"}, renamings: symmetryRenamings([]string{"d", "f"})})
	w.loseContact("a", "e")
	for _, name := range []string{"a campaigns", "a>b Prepare", "a>c Prepare", "a>d Prepare", "a>f Prepare", "a stops waiting",
		"a>b Sync", "a>c Sync", "a>d Sync", "a>f Sync", "a>b Accept", "a>c Accept",
		"a campaigns", "a>d Prepare", "a>f Prepare", "a stops waiting", "a>d Sync", "a>f Sync", "a>d Accept", "a>f Accept",
		"a commits an entry", "a>d Replicate", "a>f Replicate"} {
		w.playStep(name)
	}
	if b := w.nodes["b"].replica.hard.Accepted; len(w.committed) != 1 || !b.joint() || b.Epoch == w.nodes["a"].replica.hard.Accepted.Epoch {
		panic("no entry was acknowledged after a joint view: " + w.nodes["a"].replica.Status())
	}
	clear(w.inFlight)
	w.layout.candidates = []string{"b"}
	w.remaining, w.trace = allowed, nil
	return w
}

// loseContact sets a primary's last contact with a member to long ago, so that a newcomer of the member's zone replaces it.
func (w *world) loseContact(primaryAddress, member string) {
	r := w.node(primaryAddress).replica
	r.leadership.viewSince, r.leadership.primarySince = 0, 0
	status := r.leadership.statuses[member]
	status.lastContact = 0
	r.leadership.statuses[member] = status
}

// threeWithOneOutOfSync is a core of three in which a and b are in sync, and c is not. b and c may campaign.
func threeWithOneOutOfSync(allowed budget) *world {
	return newCore(allowed, &coreLayout{zones: map[string]string{"a": "1", "b": "2", "c": "3"}, members: []string{"a", "b", "c"}, outOfSync: []string{"c"},
		faultTolerance: 1, candidates: []string{"b", "c"}})
}

// threeWithDuplicateSync is a core of three in which b, the primary, sent c a snapshot when it was elected, and has committed
// an entry with c since. The Sync with the snapshot may arrive at c again. a has received neither the Sync nor the entry.
func threeWithDuplicateSync(allowed budget) *world {
	w := newCore(budget{candidacies: 1, writes: 1, lateRequests: 1}, &coreLayout{zones: map[string]string{"a": "1", "b": "2", "c": "3"},
		members: []string{"a", "b", "c"}, outOfSync: []string{"c"}, snapshot: true, lateSyncs: true, faultTolerance: 1, candidates: []string{"b", "c"}})
	for _, name := range []string{"b campaigns", "b>c Prepare", "b stops waiting", "b>c Sync", "b>c Accept", "b commits an entry", "b>c Replicate"} {
		w.playStep(name)
	}
	if len(w.committed) != 2 {
		panic("no entry was acknowledged: " + w.nodes["b"].replica.Status())
	}
	w.remaining, w.trace = allowed, nil
	return w
}
