package replication

import "slices"

// Epoch is the number of a view; a larger one supersedes. The node's identity breaks ties: no two candidates use the same
// epoch.
type Epoch struct {
	Round uint64
	Node  string // the candidate's Member.ID
}

// Less reports whether e is smaller than other.
func (e Epoch) Less(other Epoch) bool {
	if e.Round != other.Round {
		return e.Round < other.Round
	}
	return e.Node < other.Node
}

// Member is one replica and witness. ID identifies a disk: a machine that lost its disk is another member.
type Member struct {
	ID      string
	Address string
	Zone    string
	Joined  uint64 // the round of the view that added it
}

// View is the configuration of an epoch: the primary, the in-sync set, whose disks have every acknowledged entry, and the
// members, who vote on the next view.
type View struct {
	Epoch   Epoch
	Primary string   // ID of a member
	InSync  []string // IDs of members
	Members []Member
	Old     []Member // members of the previous view, whose majority is needed too until this view is known to be in force
}

// Member returns the member with an ID, or nil if there is none.
func (v *View) Member(id string) *Member {
	for i := range v.Members {
		if v.Members[i].ID == id {
			return &v.Members[i]
		}
	}
	return nil
}

// PrimaryAddress returns the address of the primary, or "" if the view has none.
func (v *View) PrimaryAddress() string {
	if m := v.Member(v.Primary); m != nil {
		return m.Address
	}
	return ""
}

// joint reports whether the next view also needs a majority of the previous view's members.
func (v *View) joint() bool {
	return !slices.Equal(v.Old, v.Members)
}

func (v *View) inSync(id string) bool { return slices.Contains(v.InSync, id) }

// Position identifies a state: the epoch in which its last entry was proposed, and that entry's number. Two states with the
// same position are equal.
type Position struct {
	Epoch    Epoch
	Sequence uint64
}

// majority reports whether more than half of the members are among the voters.
func majority(members []Member, voters map[string]bool) bool {
	n := 0
	for _, m := range members {
		if voters[m.ID] {
			n++
		}
	}
	return n > len(members)/2
}

// laterView returns the one of two views that a candidate has to build on: the one with the larger epoch. Of the same view,
// the copy that is known to be in force takes precedence over the joint one.
func laterView(a, b View) View {
	inForce := a.Epoch == b.Epoch && a.joint() && !b.joint()
	if inForce || a.Epoch.Less(b.Epoch) {
		return b
	}
	return a
}
