package replication

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

// Sync brings a member to the candidate's state: by the entries that it lacks, or by a whole state. A member whose position is the
// candidate's gets neither.
type Sync struct {
	Epoch    Epoch
	Position Position
	After    Position // of the state that Entries go on from
	Entries  []Entry
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
	Number    uint64
	Committed uint64
}

// HeartbeatAck answers Heartbeat.
type HeartbeatAck struct {
	Epoch      Epoch
	Number     uint64
	From       Member
	Promised   Epoch
	KnownEpoch Epoch // the view that it knows to be in force
	DiskFails  bool
	HasDisk    bool     // it has one: it may become a member
	Position   Position // of what is on it
	Leaving    bool     // its process is about to end
}

// SnapshotChunk brings a part of the state at a position to a learner: one outside the in-sync set that has a disk.
type SnapshotChunk struct {
	Epoch    Epoch
	Position Position
	Size     int // of the whole
	Offset   int
	Data     []byte
}

// MissingEntries brings a learner the entries after its position.
type MissingEntries struct {
	Epoch   Epoch
	After   Position
	Entries []Entry
}

// LearnerAck answers SnapshotPiece and MissingEntries.
type LearnerAck struct {
	Epoch    Epoch
	From     Member
	Position Position // of what is on its disk
	Transfer Position // of the snapshot that it is receiving
	Received int      // bytes of it
}

// TransferLeadership asks an in-sync replica to become primary: its sender is about to end, or its disk fails.
type TransferLeadership struct{ Epoch Epoch }

func (PreVote) replicationMessage()            {}
func (PreVoteReply) replicationMessage()       {}
func (Prepare) replicationMessage()            {}
func (Promise) replicationMessage()            {}
func (Sync) replicationMessage()               {}
func (Synced) replicationMessage()             {}
func (Accept) replicationMessage()             {}
func (Accepted) replicationMessage()           {}
func (Replicate) replicationMessage()          {}
func (Replicated) replicationMessage()         {}
func (Heartbeat) replicationMessage()          {}
func (HeartbeatAck) replicationMessage()       {}
func (TransferLeadership) replicationMessage() {}
func (SnapshotChunk) replicationMessage()      {}
func (MissingEntries) replicationMessage()     {}
func (LearnerAck) replicationMessage()         {}

// Messages has one of each type, for a transport that wants to know them.
func Messages() []Message {
	return []Message{PreVote{}, PreVoteReply{}, Prepare{}, Promise{}, Sync{}, Synced{}, Accept{}, Accepted{}, Replicate{}, Replicated{},
		Heartbeat{}, HeartbeatAck{}, TransferLeadership{}, SnapshotChunk{}, MissingEntries{}, LearnerAck{}}
}
