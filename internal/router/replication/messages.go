package replication

// Message is what replicas send one another. Prepare, Promise, Accept and Accepted are the messages of Paxos that have
// these names. Messages are encoded by gob under their field names;
// internal/router/wireformat has the forms of those whose fields were renamed. Each carries an epoch, or answers a
// request that did not need one (PreVote): what does not belong to the receiver's present epoch and phase is dropped.
type Message interface{ replicationMessage() }

// PreVote is sent by a follower that suspects the primary, to all whose promise it may need. The receiver answers with
// what it would say to a Prepare, and promises nothing.
type PreVote struct{ From Member }

// PreVoteReply is the answer to PreVote. The follower becomes candidate once a majority has no contact with a primary
// either and it is in the in-sync set of the newest view accepted among them.
type PreVoteReply struct {
	Voters        []string // the witness identities that would promise
	Accepted      View     // the newest view that they accepted
	LeaderContact bool     // they would promise nothing: they have contact with a primary or a candidate
}

// Prepare is sent by a candidate to all whose promise it may need. The receiver promises to follow no smaller epoch,
// and answers once that is on its disk. It refuses if it has promised a larger one, or if it has contact with a primary
// and the candidate does not force it.
type Prepare struct {
	Epoch Epoch
	From  Member
	Force bool // also while the receiver has contact with a primary: that primary asked for this itself
}

// Promise is the answer to Prepare. The candidate counts its voters, builds on the newest accepted view that it learns
// of, and brings the sender to its own state in the next phase.
type Promise struct {
	Epoch    Epoch
	From     Member
	Refused  bool     // the sender has promised Promised, or has contact with a primary
	Promised Epoch    // the largest epoch that the sender promised
	Voters   []string // the witness identities that promise
	Accepted View     // the newest view that the sender accepted
	Position Position // of the sender's state
}

// Sync is sent by a candidate to those that promised. The receiver adopts the candidate's state, by the entries that it
// lacks or by a complete state, and answers once that is on its disk. A receiver whose position is the candidate's gets
// neither.
type Sync struct {
	Epoch    Epoch
	Position Position
	After    Position // of the state that Entries follow
	Entries  []Entry
	Snapshot []byte
}

// Synced is the answer to Sync. The candidate adds the sender to the in-sync set of the view that it proposes.
type Synced struct {
	Epoch    Epoch
	From     string
	Position Position
}

// Accept is sent by a candidate to all witnesses. The receiver accepts the view unless it has promised a larger epoch,
// and answers once that is on its disk.
type Accept struct{ View View }

// Accepted is the answer to Accept. The candidate becomes primary once a majority of the members, and of the members
// before, accepted.
type Accepted struct {
	Epoch    Epoch
	Voters   []string
	Refused  bool
	Promised Epoch
}

// Replicate is sent by the primary to the in-sync set for each entry. The receiver applies the entry if it follows its
// state, and answers once it is on its disk; it ignores an entry of an epoch that it has left.
type Replicate struct {
	Epoch    Epoch
	Sequence uint64
	Entry    []byte
}

// Replicated is the answer to Replicate. The primary commits the entry once all of the in-sync set have answered.
type Replicated struct {
	Epoch    Epoch
	From     string
	Sequence uint64
}

// Heartbeat is sent by the primary to all members and all that may become members. The receiver follows the primary,
// accepts its view, and publishes its state once that is the committed one.
type Heartbeat struct {
	Epoch     Epoch
	View      *View  // nil where the receiver has said that it knows it
	Number    uint64 // counts this primary's heartbeats
	Committed uint64 // sequence of the last committed entry
}

// HeartbeatAck is the answer to Heartbeat. The primary learns from it who is reachable and what is on whose disk, and
// counts it as a confirmation that it is still primary. One with a larger promised epoch makes it campaign for a new
// view.
type HeartbeatAck struct {
	Epoch      Epoch
	Number     uint64 // of the heartbeat
	From       Member
	Promised   Epoch
	KnownEpoch Epoch // of the view that the sender knows to be in force
	DiskFails  bool
	HasDisk    bool     // it may become a member
	Position   Position // of what is on its disk
	Leaving    bool     // its process is about to end
}

// SnapshotChunk is sent by the primary to a learner: a replica with a disk outside the in-sync set. The receiver
// collects the chunks, restores the state when it has all of them, and answers each.
type SnapshotChunk struct {
	Epoch    Epoch
	Position Position
	Size     int // of the complete snapshot, in bytes
	Offset   int // of Data in it
	Data     []byte
}

// MissingEntries is sent by the primary to a learner. The receiver applies the entries if they follow its state, and
// answers once they are on its disk.
type MissingEntries struct {
	Epoch   Epoch
	After   Position // of the state that the entries follow
	Entries []Entry
}

// LearnerAck is the answer to SnapshotChunk and MissingEntries. The primary sends what follows.
type LearnerAck struct {
	Epoch    Epoch
	From     Member
	Position Position // of what is on its disk
	Transfer Position // of the snapshot that it is receiving
	Received int      // bytes of that snapshot
}

// TransferLeadership is sent by a primary that is about to end or whose disk fails, to one of the in-sync set. The
// receiver becomes candidate at once, if it still follows that epoch.
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

// Messages returns one message of each type, for whoever encodes them.
func Messages() []Message {
	return []Message{PreVote{}, PreVoteReply{}, Prepare{}, Promise{}, Sync{}, Synced{}, Accept{}, Accepted{}, Replicate{}, Replicated{},
		Heartbeat{}, HeartbeatAck{}, TransferLeadership{}, SnapshotChunk{}, MissingEntries{}, LearnerAck{}}
}
