package replication

// StateMachine is the state that is replicated. It is deterministic: the same entries in the same order give the same
// state on every replica. Only the replica calls it, on the goroutine of the shell's call.
type StateMachine interface {
	// Decide reports whether a proposed entry is accepted on top of the current state, which it does not change.
	Decide(entry []byte) Decision
	// Apply changes the state by an entry that Decide accepted, here or on another replica.
	Apply(entry []byte)
	// Snapshot returns the complete state. The caller keeps it; it must not change afterwards.
	Snapshot() []byte
	// Restore replaces the state by a snapshot. On an error the state is as before.
	Restore(snapshot []byte) error
	// Value returns the state as it is published. It is immutable.
	Value() any
}

// Decision is the result of a proposal or of a read.
type Decision struct {
	Accept bool   // the entry is to be replicated, or was committed
	Status int    // HTTP status for the caller
	Reason string // for the caller, where the status is not 200
}
