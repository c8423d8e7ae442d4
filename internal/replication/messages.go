package replication

import "slices"

// Epoch numbers views; a larger one supersedes. The node's identity breaks ties, so that no two candidates share one.
type Epoch struct {
	Round uint64
	Node  string
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
	Joined  uint64 // the round of the view that took it in
}

// View says who is primary, and whose disks hold everything that was acknowledged.
type View struct {
	Epoch   Epoch
	Primary string   // its ID
	InSync  []string // IDs
	Members []Member
	Old     []Member // the members of the view before, who have to agree too until this one is known to be in force
}

// Member finds a member by ID.
func (v *View) Member(id string) *Member {
	for i := range v.Members {
		if v.Members[i].ID == id {
			return &v.Members[i]
		}
	}
	return nil
}

// joint reports whether the members of the view before have to agree to what follows.
func (v *View) joint() bool {
	return !slices.Equal(v.Old, v.Members)
}

// PrimaryAddress is where the primary is, or "".
func (v *View) PrimaryAddress() string {
	if m := v.Member(v.Primary); m != nil {
		return m.Address
	}
	return ""
}

func (v *View) inSync(id string) bool { return slices.Contains(v.InSync, id) }

// Position names a state: the epoch in which its last entry was made, and that entry's number.
type Position struct {
	Epoch    Epoch
	Sequence uint64
}

// Message is what replicas say to one another.
type Message interface{ replicationMessage() }

// Prepare asks for a promise to follow no smaller epoch.
type Prepare struct {
	Epoch Epoch
	From  Member
	Force bool // also while a primary is heard of: it asked for this itself
}

// Promise answers Prepare. Refused: the receiver has promised Promised, or hears a primary.
type Promise struct {
	Epoch    Epoch
	From     Member
	Refused  bool
	Promised Epoch
	Voters   []string // the witness identities that promise
	Accepted View
	Position Position
}

// Sync brings a member to the candidate's state; Snapshot is nil where its position is already the candidate's.
type Sync struct {
	Epoch    Epoch
	Position Position
	Snapshot []byte
}

// Synced answers Sync once the state is on the disk.
type Synced struct {
	Epoch    Epoch
	From     string
	Position Position
}

// Accept asks the witnesses to accept a view.
type Accept struct{ View View }

// Accepted answers Accept once it is on the disk.
type Accepted struct {
	Epoch    Epoch
	Voters   []string
	Refused  bool
	Promised Epoch
}

// Replicate brings one entry to an in-sync replica.
type Replicate struct {
	Epoch    Epoch
	Sequence uint64
	Entry    []byte
}

// Replicated answers Replicate once the entry is on the disk.
type Replicated struct {
	Epoch    Epoch
	From     string
	Sequence uint64
}

// Heartbeat tells members and those that wait to be one who is primary, and what is committed.
type Heartbeat struct {
	Epoch     Epoch
	View      *View // where the receiver has not said that it knows it
	Beat      uint64
	Committed uint64
}

// HeartbeatAck answers Heartbeat.
type HeartbeatAck struct {
	Epoch     Epoch
	Beat      uint64
	From      Member
	Promised  Epoch
	Known     Epoch // the view that it knows to be in force
	DiskFails bool
}

// TakeOver asks an in-sync replica to become primary: its sender is about to end, or its disk fails.
type TakeOver struct{ Epoch Epoch }

func (PreVote) replicationMessage()      {}
func (PreVoteReply) replicationMessage() {}
func (Prepare) replicationMessage()      {}
func (Promise) replicationMessage()      {}
func (Sync) replicationMessage()         {}
func (Synced) replicationMessage()       {}
func (Accept) replicationMessage()       {}
func (Accepted) replicationMessage()     {}
func (Replicate) replicationMessage()    {}
func (Replicated) replicationMessage()   {}
func (Heartbeat) replicationMessage()    {}
func (HeartbeatAck) replicationMessage() {}
func (TakeOver) replicationMessage()     {}

// Messages has one of each type, for a transport that wants to know them.
func Messages() []Message {
	return []Message{PreVote{}, PreVoteReply{}, Prepare{}, Promise{}, Sync{}, Synced{}, Accept{}, Accepted{}, Replicate{}, Replicated{},
		Heartbeat{}, HeartbeatAck{}, TakeOver{}}
}

// Machine is the state that is replicated. Decide does not change it.
type Machine interface {
	Decide(entry []byte) Decision
	Apply(entry []byte)
	Snapshot() []byte
	Restore(snapshot []byte) error
	Value() any // the state as it is published; it is immutable
}

// Decision is what a state machine makes of a proposed entry.
type Decision struct {
	Accept bool
	Status int // what the proposer is told
	Reason string
}

// Hard is what a witness must not forget.
type Hard struct {
	Promised Epoch
	Accepted View
	Genesis  bool // this disk was made at the first start of the whole system
}

// Entry is one entry on the disk.
type Entry struct {
	Position Position
	Data     []byte
}

// SnapshotRecord is a whole state on the disk; entries before it are forgotten.
type SnapshotRecord struct {
	Position Position
	Data     []byte
}

// Kept is what a replica finds on its disk.
type Kept struct {
	ID       string
	Hard     Hard
	Snapshot SnapshotRecord
	Entries  []Entry
}

// Effect is what the shell carries out.
type Effect interface{ replicationEffect() }

// Send sends a message to the sidecar at an address; it may be lost.
type Send struct {
	To      string
	Message Message
}

// Save writes to the disk and syncs; the shell then calls Saved or SaveFailed with Number. Saves keep their order.
type Save struct {
	Number   uint64
	Hard     Hard
	Entry    *Entry
	Snapshot *SnapshotRecord
}

// Publish says that a state of the machine is committed.
type Publish struct {
	Position Position
	Entries  [][]byte // the last ones that led to it, as far as they are known
	Value    any      // the machine's
}

// Answer ends a proposal.
type Answer struct {
	Token    uint64
	Decision Decision
}

func (Send) replicationEffect()    {}
func (Save) replicationEffect()    {}
func (Publish) replicationEffect() {}
func (Answer) replicationEffect()  {}
