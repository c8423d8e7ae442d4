package replication

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// This file decides the members of the next view. A newcomer replaces one member in one step, so that a repair never needs
// more votes than were needed before it. The number of members grows only where a zone has no member, or where there are
// too few members to tolerate FaultTolerance losses.

const (
	// replacementTimeout is the time without contact after which a newcomer of a member's zone replaces the member.
	replacementTimeout = time.Second
	// crossZoneReplacementTimeout is the time without contact after which a newcomer of a zone without a member replaces
	// the member.
	crossZoneReplacementTimeout = 4 * time.Second
)

// nextView returns the view that a candidate proposes. A change of members that was begun and is not known to be in force
// is finished first, with the same members and the same previous members. A view built on members that were never in force
// would be decided without the previous members, which may still decide on another view.
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
		return e.newestView.Members // only that view's primary knows which members are unreachable or leaving
	}
	members := r.planMembers(func(id string) bool { return e.sync.synced[id] })
	for i := range members {
		if e.newestView.Member(members[i].ID) == nil {
			members[i].Joined = e.epoch.Round
		}
	}
	return members
}

// firstMembers returns the members of the first view: all disks that were brought to the candidate's state.
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

// planMembers returns the members that a primary wants for the next view. ready reports whether a replica has the primary's
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
	return r.withoutSupersededMember(members, ready)
}

// replacedBy returns the index of the member that a newcomer replaces, or len(members) if the newcomer is to be added. ok is
// false if the newcomer has to wait.
func (r *Replica) replacedBy(newcomer Member, members []Member) (index int, ok bool) {
	for i, m := range members {
		if m.Address == newcomer.Address {
			return i, true // the member's disk was lost
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

// withoutSupersededMember removes one member that has been unreachable for crossZoneReplacementTimeout and whose zone has a
// newer member that is ready, provided that at least 2*FaultTolerance+1 members remain.
func (r *Replica) withoutSupersededMember(members []Member, ready func(id string) bool) []Member {
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

// isLeaving reports whether a member reported in its last heartbeat ack that its process is about to end.
func (r *Replica) isLeaving(m Member) bool { return r.leadership.statuses[m.ID].leaving }

// unreachableFor reports whether the primary has had no contact with a member for longer than a limit. Time before it became
// primary does not count.
func (r *Replica) unreachableFor(m Member, limit time.Duration) bool {
	if m.ID == r.Self.ID {
		return false
	}
	return r.now-max(r.leadership.statuses[m.ID].lastContact, r.leadership.primarySince) > limit
}

// wantedChange describes the difference that the next view would make: the IDs of the members that would join the in-sync
// set and, if the members would change, the IDs of the new ones. It is "" if the next view would be the same.
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
