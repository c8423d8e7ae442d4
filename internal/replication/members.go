package replication

import "sort"

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

// nextMembers are the members of the view that a candidate proposes.
func (r *Replica) nextMembers() []Member {
	e := &r.election
	var members []Member
	if e.newest.Epoch.Round > 0 {
		members = append(members, e.newest.Members...)
	}
	joins := make([]Member, 0, len(e.synced))
	for id := range e.synced {
		m, ok := e.joining[id]
		if id == r.Self.ID {
			m, ok = r.Self, true
		}
		if ok {
			m.Joined = e.epoch.Round
			joins = append(joins, m)
		}
	}
	sort.Slice(joins, func(i, j int) bool { return joins[i].ID < joins[j].ID })
	for _, m := range joins {
		members = addMember(members, m)
	}
	return r.withoutPredecessors(members)
}

// addMember puts a member in the place of the one that had its address, whose disk is gone, or beside the others.
func addMember(members []Member, m Member) []Member {
	for i := range members {
		if members[i].ID == m.ID {
			return members
		}
		if members[i].Address == m.Address {
			next := append([]Member(nil), members...)
			next[i] = m
			return next
		}
	}
	return append(append([]Member(nil), members...), m)
}

// withoutPredecessors leaves out one that has long been silent and whose zone has a newer member that is not.
func (r *Replica) withoutPredecessors(members []Member) []Member {
	for i, old := range members {
		if r.election.synced[old.ID] || !r.silentLong(old) {
			continue
		}
		for _, m := range members {
			if m.Zone == old.Zone && m.Joined > old.Joined && r.election.synced[m.ID] {
				return append(append([]Member(nil), members[:i]...), members[i+1:]...)
			}
		}
	}
	return members
}

// mayJoin: a sidecar with a disk that promised in its own name.
func (r *Replica) mayJoin(m Member, p Promise) bool {
	for _, v := range p.Voters {
		if v == m.ID {
			return true
		}
	}
	return false
}
