package replication

// What a replica is given and what it wants done: the state machine, records on the disk, effects.

// StateMachine is the state that is replicated. Decide does not change it.
type StateMachine interface {
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

// HardState is what a witness must not forget.
type HardState struct {
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

// PersistedState is what a replica finds on its disk.
type PersistedState struct {
	ID       string
	Hard     HardState
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
	Hard     HardState
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
