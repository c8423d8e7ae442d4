package replication

// Message is a message between replicas. Prepare, Promise, Accept and Accepted are the messages of Paxos with the same
// names. Messages are encoded by gob under their field names; where a field has another name on the wire,
// internal/router/wireformat has the type that is encoded. Every message but PreVote and PreVoteReply carries an epoch: the
// receiver drops a message that does not belong to its current epoch and phase.
type Message interface{ replicationMessage() }

// PreVote is sent by a follower that suspects the primary to have failed, to all replicas whose promise it may need. The
// receiver answers as it would answer a Prepare, but promises nothing.
type PreVote struct{ From Member }

// PreVoteReply is the answer to PreVote. The follower becomes candidate once a majority has no contact with a primary
// either, and the follower is in the in-sync set of the newest view that any of this majority accepted.
type PreVoteReply struct {
	Voters        []string // the witness identities that would promise
	Accepted      View     // the newest view that the sender accepted
	LeaderContact bool     // the sender would promise nothing: it has contact with a primary or a candidate
}

// Prepare is sent by a candidate to all replicas whose promise it may need. The receiver promises to follow no smaller
// epoch, and answers once the promise is on its disk. It refuses if it has promised a larger epoch, or if it has contact
// with a primary and Force is not set.
type Prepare struct {
	Epoch Epoch
	From  Member
	Force bool // promise despite contact with a primary: that primary itself wants another view
}

// Promise is the answer to Prepare. The candidate counts its voters, builds on the newest accepted view that it learns
// of, and brings the sender to its own state in the next phase.
type Promise struct {
	Epoch    Epoch
	From     Member
	Refused  bool     // the sender promised a larger epoch, Promised, or has contact with a primary
	Promised Epoch    // the largest epoch that the sender promised
	Voters   []string // the witness identities that promise
	Accepted View     // the newest view that the sender accepted
	Position Position // of the sender's state
}

// Sync is sent by a candidate to the replicas that promised. The receiver adopts the candidate's state from the missing
// entries or from a snapshot, and answers once the state is on its disk. Both are empty where the receiver already has the
// candidate's position.
type Sync struct {
	Epoch    Epoch
	Position Position // of the candidate's state
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
// and answers once the view is on its disk.
type Accept struct{ View View }

// Accepted is the answer to Accept. The candidate becomes primary once a majority of the view's members, and a majority
// of the previous members, accepted.
type Accepted struct {
	Epoch    Epoch
	Voters   []string
	Refused  bool
	Promised Epoch
}

// Replicate is sent by the primary to the in-sync set for each entry. The receiver applies the entry if it follows the
// receiver's state, and answers once the entry is on its disk. It ignores an entry of an epoch that it has left.
type Replicate struct {
	Epoch    Epoch
	Sequence uint64
	Entry    []byte
}

// Replicated is the answer to Replicate. The primary commits the entry once all members of the in-sync set have answered.
type Replicated struct {
	Epoch    Epoch
	From     string
	Sequence uint64
}

// Heartbeat is sent by the primary to all members and all replicas that may become members. The receiver follows the
// primary, accepts its view, and publishes its own state if that is the committed one.
type Heartbeat struct {
	Epoch     Epoch
	View      *View  // nil where the receiver has acknowledged the view
	Number    uint64 // counts this primary's heartbeats
	Committed uint64 // sequence of the last committed entry
}

// HeartbeatAck is the answer to Heartbeat. It tells the primary that the sender is reachable and which state is on the
// sender's disk, and counts as a confirmation that the receiver is still primary. If the sender promised a larger epoch,
// the primary campaigns for a new view.
type HeartbeatAck struct {
	Epoch      Epoch
	Number     uint64 // of the heartbeat
	From       Member
	Promised   Epoch
	KnownEpoch Epoch // of the view that the sender knows to be in force
	DiskFails  bool
	HasDisk    bool     // the sender may become a member
	Position   Position // of the state on the sender's disk
	Leaving    bool     // the sender's process is about to end
}

// SnapshotChunk is sent by the primary to a learner: a replica with a disk outside the in-sync set. The receiver
// collects the chunks, restores the state when it has all of them, and answers each.
type SnapshotChunk struct {
	Epoch    Epoch
	Position Position
	Size     int // of the complete snapshot, in bytes
	Offset   int // of Data in the snapshot, in bytes
	Data     []byte
}

// MissingEntries is sent by the primary to a learner. The receiver applies the entries if they follow the receiver's state,
// and answers once they are on its disk.
type MissingEntries struct {
	Epoch   Epoch
	After   Position // of the state that the entries follow
	Entries []Entry
}

// LearnerAck is the answer to SnapshotChunk and MissingEntries. The primary sends the next chunk or entries.
type LearnerAck struct {
	Epoch    Epoch
	From     Member
	Position Position // of the state on the sender's disk
	Transfer Position // of the snapshot that the sender is receiving
	Received int      // bytes of that snapshot
}

// TransferLeadership is sent by a primary whose process is about to end or whose disk fails, to one member of the in-sync
// set. The receiver becomes candidate at once, if it still follows that epoch.
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

// Messages returns one message of each type, for the registration of the types with an encoder.
func Messages() []Message {
	return []Message{PreVote{}, PreVoteReply{}, Prepare{}, Promise{}, Sync{}, Synced{}, Accept{}, Accepted{}, Replicate{}, Replicated{},
		Heartbeat{}, HeartbeatAck{}, TransferLeadership{}, SnapshotChunk{}, MissingEntries{}, LearnerAck{}}
}
