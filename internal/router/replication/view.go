package replication

import "slices"

// Epoch numbers views; a larger one supersedes. The node's identity breaks ties, so that no two candidates share one.
type Epoch struct {
	Round uint64
	Node  string // the candidate's Member.ID
}

// Less orders epochs.
func (e Epoch) Less(other Epoch) bool {
	if e.Round != other.Round {
		return e.Round < other.Round
	}
	return e.Node < other.Node
}

// Member is one replica and witness. ID names a disk: a machine that lost its disk is another member.
type Member struct {
	ID      string
	Address string
	Zone    string
	Joined  uint64 // the round of the view that added it
}

// View says who is primary, whose disks hold everything that was acknowledged, and who decides what follows.
type View struct {
	Epoch   Epoch
	Primary string   // its ID
	InSync  []string // IDs
	Members []Member
	Old     []Member // the members of the view before, who have to agree too until this one is known to be in force
}

// Member returns the member with an ID, or nil.
func (v *View) Member(id string) *Member {
	for i := range v.Members {
		if v.Members[i].ID == id {
			return &v.Members[i]
		}
	}
	return nil
}

// PrimaryAddress returns the address of the primary, or "".
func (v *View) PrimaryAddress() string {
	if m := v.Member(v.Primary); m != nil {
		return m.Address
	}
	return ""
}

// joint reports whether the members of the view before have to agree to what follows.
func (v *View) joint() bool {
	return !slices.Equal(v.Old, v.Members)
}

func (v *View) inSync(id string) bool { return slices.Contains(v.InSync, id) }

// Position names a state: the epoch in which its last entry was made, and that entry's number. Two states with one
// position are equal.
type Position struct {
	Epoch    Epoch
	Sequence uint64
}

// majority reports whether more than half of some members are among voters.
func majority(members []Member, voters map[string]bool) bool {
	n := 0
	for _, m := range members {
		if voters[m.ID] {
			n++
		}
	}
	return n > len(members)/2
}

// laterView returns the one of two views that a candidate has to build on. Of one view the form that is known to be in
// force counts.
func laterView(a, b View) View {
	inForce := a.Epoch == b.Epoch && a.joint() && !b.joint()
	if inForce || a.Epoch.Less(b.Epoch) {
		return b
	}
	return a
}
