package replication

// What a replica keeps on its disk. HardState, Entry and SnapshotRecord, with Epoch, Member, View and Position within
// them, are encoded by gob under their field names, on disks and in messages: the fields must not be renamed.

// HardState is what a replica must not forget as a voter.
type HardState struct {
	Promised Epoch // no smaller epoch is followed
	Accepted View  // the newest view that was accepted
	Genesis  bool  // this disk was made at the first start of the whole system
}

// Entry is one committed or staged entry.
type Entry struct {
	Position Position // of the state after it
	Data     []byte
}

// SnapshotRecord is a complete state at a position. On the disk it replaces all entries before it.
type SnapshotRecord struct {
	Position Position
	Data     []byte
}

// PersistedState is all that a replica finds on its disk when it starts.
type PersistedState struct {
	ID       string // the disk's identity, drawn when its file was made
	Hard     HardState
	Snapshot SnapshotRecord
	Entries  []Entry // after the snapshot, in order
}
