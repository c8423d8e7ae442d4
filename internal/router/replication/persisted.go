package replication

// This file has the state that a replica persists. HardState, Entry and SnapshotRecord, and the Epoch, Member, View and
// Position in them, are encoded by gob under their field names, on disks and in messages: the fields must not be renamed.

// HardState is the state that a witness persists before it answers: without it, it could vote twice in one epoch.
type HardState struct {
	Promised Epoch // no smaller epoch is followed
	Accepted View  // the newest view that was accepted
	Genesis  bool  // this disk's file was created at the first start of the whole system
}

// Entry is one committed or staged entry.
type Entry struct {
	Position Position // of the state after it
	Data     []byte
}

// SnapshotRecord is the complete state at a position. On the disk it replaces all entries up to that position.
type SnapshotRecord struct {
	Position Position
	Data     []byte
}

// PersistedState is the content of a replica's disk when its process starts.
type PersistedState struct {
	ID       string // the disk's identity, drawn when its file was created
	Hard     HardState
	Snapshot SnapshotRecord
	Entries  []Entry // after the snapshot, in order
}
