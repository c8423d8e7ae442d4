package replication

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Who is a member of the next view. A newcomer takes the place of one member in one step, so that a repair never needs more votes than
// there were before it; the number of members grows only where a zone has none, or where there are too few to bear the losses that
// FaultTolerance names.

const (
	replaceAfter  = time.Second     // of silence: a newcomer of its zone takes a member's place
	successorWait = 4 * time.Second // of silence: a newcomer of any zone does
)

// nextView is the view that a candidate proposes. A change of members that was begun and is not known to be in force is
// finished first, with the same members and the same ones before: a view built on members that never were in force would be
// decided without those that still may decide.
func (r *Replica) nextView() View {
	e := &r.election
	v := View{Epoch: e.epoch, Primary: r.Self.ID, Members: e.newest.Members, Old: e.newest.Old}
	if !e.newest.joint() {
		v.Members, v.Old = r.nextMembers(), e.newest.Members
	}
	for id := range e.synced {
		if v.Member(id) != nil {
			v.InSync = append(v.InSync, id)
		}
	}
	sort.Strings(v.InSync)
	return v
}

// nextMembers are the members of a view built on one that is in force.
func (r *Replica) nextMembers() []Member {
	e := &r.election
	switch {
	case e.newest.Epoch.Round == 0:
		return r.firstMembers()
	case r.leading.view.Epoch != e.newest.Epoch:
		return e.newest.Members // who was not primary just now does not know who is silent, or leaves
	}
	members := r.planMembers(func(id string) bool { return e.synced[id] })
	for i := range members {
		if e.newest.Member(members[i].ID) == nil {
			members[i].Joined = e.epoch.Round
		}
	}
	return members
}

// firstMembers are those of the first view: all disks that were brought to the candidate's state.
func (r *Replica) firstMembers() []Member {
	e := &r.election
	var members []Member
	for _, id := range sortedKeys(e.synced) {
		m, ok := e.joining[id]
		if id == r.Self.ID {
			m, ok = r.Self, true
		}
		if ok {
			m.Joined = e.epoch.Round
			members = append(members, m)
		}
	}
	return members
}

// planMembers is what a primary makes of the members of its view; ready says which replicas have its state.
func (r *Replica) planMembers(ready func(id string) bool) []Member {
	members := slices.Clone(r.leading.view.Members)
	for _, id := range sortedKeys(r.leading.acked) {
		a := r.leading.acked[id]
		isMember := slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
		if isMember || !a.disk || a.leaving || !ready(id) {
			continue
		}
		if i := r.placeFor(a.member, members); i < 0 {
			continue
		} else if i < len(members) {
			members[i] = a.member
		} else {
			members = append(members, a.member)
		}
	}
	return r.withoutPredecessor(members, ready)
}

// placeFor says whose place a newcomer takes: an index of members, their number where it is added, or -1 where it has to wait.
func (r *Replica) placeFor(newcomer Member, members []Member) int {
	for i, m := range members {
		if m.Address == newcomer.Address {
			return i // its disk is gone
		}
	}
	zoneHasMember := false
	for i, m := range members {
		if m.Zone != newcomer.Zone {
			continue
		}
		zoneHasMember = true
		if r.leaves(m) || r.silentFor(m, replaceAfter) {
			return i
		}
	}
	allHeard := true
	for i, m := range members {
		if r.silentFor(m, successorWait) && !zoneHasMember {
			return i
		}
		allHeard = allHeard && !r.silentFor(m, reachable)
	}
	tooFew := len(members) < 2*r.FaultTolerance+1
	if allHeard && (!zoneHasMember || tooFew) {
		return len(members)
	}
	return -1
}

// withoutPredecessor leaves out one that has long been silent and whose zone has a newer member, where enough are left.
func (r *Replica) withoutPredecessor(members []Member, ready func(id string) bool) []Member {
	if len(members) <= 2*r.FaultTolerance+1 {
		return members
	}
	for i, old := range members {
		if !r.silentFor(old, successorWait) {
			continue
		}
		for _, m := range members {
			if m.Zone == old.Zone && m.Joined > old.Joined && ready(m.ID) {
				return slices.Delete(members, i, i+1)
			}
		}
	}
	return members
}

// leaves reports whether a member said in its last answer that its process is about to end.
func (r *Replica) leaves(m Member) bool { return r.leading.acked[m.ID].leaving }

// silentFor reports whether the primary has not heard a member for a time.
func (r *Replica) silentFor(m Member, limit time.Duration) bool {
	if m.ID == r.Self.ID {
		return false
	}
	return r.now-max(r.leading.acked[m.ID].at, r.leading.began) > limit
}

// wantedChange names what the next view would have that this one has not: other members, or more of them in sync. It is "" where there is
// nothing.
func (r *Replica) wantedChange() string {
	l := &r.leading
	var wanted []string
	for _, m := range l.view.Members {
		if !l.view.inSync(m.ID) && r.caughtUp(m.ID) {
			wanted = append(wanted, m.ID)
		}
	}
	if planned := r.planMembers(r.caughtUp); !slices.Equal(planned, l.view.Members) {
		for _, m := range planned {
			wanted = append(wanted, m.ID)
		}
	}
	return strings.Join(wanted, " ")
}

// mayJoin: a sidecar with a disk that promised in its own name.
func (r *Replica) mayJoin(m Member, p Promise) bool { return slices.Contains(p.Voters, m.ID) }
