package replication

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Who is a member of the next view. A newcomer replaces one member in one step, so that a repair never needs more votes
// than there were before it; the number of members grows only where a zone has none, or where there are too few to
// tolerate the losses that FaultTolerance names.

const (
	replacementTimeout          = time.Second     // without contact: a newcomer of its zone replaces a member
	crossZoneReplacementTimeout = 4 * time.Second // without contact: a newcomer of a zone without a member does
)

// nextView returns the view that a candidate proposes. A change of members that was begun and is not known to be in
// force is finished first, with the same members and the same ones before: a view built on members that never were in
// force would be decided without those that still may decide.
func (r *Replica) nextView() View {
	e := &r.election
	v := View{Epoch: e.epoch, Primary: r.Self.ID, Members: e.newestView.Members, Old: e.newestView.Old}
	if !e.newestView.joint() {
		v.Members, v.Old = r.nextMembers(), e.newestView.Members
	}
	for id := range e.sync.synced {
		if v.Member(id) != nil {
			v.InSync = append(v.InSync, id)
		}
	}
	sort.Strings(v.InSync)
	return v
}

// nextMembers returns the members of a view built on one that is in force.
func (r *Replica) nextMembers() []Member {
	e := &r.election
	switch {
	case e.newestView.Epoch.Round == 0:
		return r.firstMembers()
	case r.leadership.view.Epoch != e.newestView.Epoch:
		return e.newestView.Members // who was not primary just now does not know who is unreachable or leaving
	}
	members := r.planMembers(func(id string) bool { return e.sync.synced[id] })
	for i := range members {
		if e.newestView.Member(members[i].ID) == nil {
			members[i].Joined = e.epoch.Round
		}
	}
	return members
}

// firstMembers returns those of the first view: all disks that were brought to the candidate's state.
func (r *Replica) firstMembers() []Member {
	e := &r.election
	var members []Member
	for _, id := range sortedKeys(e.sync.synced) {
		m, ok := e.sync.requested[id]
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

// planMembers returns the members that a primary wants instead of those of its view; ready says which replicas have its
// state.
func (r *Replica) planMembers(ready func(id string) bool) []Member {
	members := slices.Clone(r.leadership.view.Members)
	for _, id := range sortedKeys(r.leadership.statuses) {
		status := r.leadership.statuses[id]
		isMember := slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
		if isMember || !status.hasDisk || status.leaving || !ready(id) {
			continue
		}
		index, ok := r.replacedBy(status.member, members)
		switch {
		case !ok:
		case index < len(members):
			members[index] = status.member
		default:
			members = append(members, status.member)
		}
	}
	return r.withoutPredecessor(members, ready)
}

// replacedBy returns the index of the member that a newcomer replaces, or the number of members where the newcomer is
// added; false where it has to wait.
func (r *Replica) replacedBy(newcomer Member, members []Member) (index int, ok bool) {
	for i, m := range members {
		if m.Address == newcomer.Address {
			return i, true // its disk is gone
		}
	}
	zoneHasMember := false
	for i, m := range members {
		if m.Zone != newcomer.Zone {
			continue
		}
		zoneHasMember = true
		if r.isLeaving(m) || r.unreachableFor(m, replacementTimeout) {
			return i, true
		}
	}
	allReachable := true
	for i, m := range members {
		if r.unreachableFor(m, crossZoneReplacementTimeout) && !zoneHasMember {
			return i, true
		}
		allReachable = allReachable && !r.unreachableFor(m, reachableWindow)
	}
	tooFew := len(members) < 2*r.FaultTolerance+1
	return len(members), allReachable && (!zoneHasMember || tooFew)
}

// withoutPredecessor drops one member that has long been unreachable and whose zone has a newer member, where enough
// remain.
func (r *Replica) withoutPredecessor(members []Member, ready func(id string) bool) []Member {
	if len(members) <= 2*r.FaultTolerance+1 {
		return members
	}
	for i, old := range members {
		if !r.unreachableFor(old, crossZoneReplacementTimeout) {
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

// isLeaving reports whether a member said in its last answer that its process is about to end.
func (r *Replica) isLeaving(m Member) bool { return r.leadership.statuses[m.ID].leaving }

// unreachableFor reports whether the primary has had no contact with a member for longer than a limit. What happened
// before it became primary does not count.
func (r *Replica) unreachableFor(m Member, limit time.Duration) bool {
	if m.ID == r.Self.ID {
		return false
	}
	return r.now-max(r.leadership.statuses[m.ID].lastContact, r.leadership.primarySince) > limit
}

// wantedChange names what the next view would have that this one has not: other members, or more of them in sync. It is
// "" where there is nothing.
func (r *Replica) wantedChange() string {
	l := &r.leadership
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
