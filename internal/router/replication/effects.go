package replication

// Effect is an action that the shell carries out for a replica. The shell carries out effects in the order in which
// Replica.Effects returns them.
type Effect interface{ replicationEffect() }

// Send sends a message to the router at an address. The message may be lost: the replica resends requests that are not
// answered.
type Send struct {
	To      string
	Message Message
}

// Save writes to the disk and syncs it. The shell then calls Saved or SaveFailed with Number. Saves keep their order. After
// a save has failed, every save without a snapshot fails too, until one with a snapshot succeeds.
type Save struct {
	Number   uint64
	Hard     HardState
	Entry    *Entry          // to be added, or nil
	Snapshot *SnapshotRecord // to replace all entries, or nil
}

// Publish reports a committed state of the machine.
type Publish struct {
	Position Position
	Entries  [][]byte // the newest entries up to that state, as far as they are in memory
	Value    any      // StateMachine.Value
}

// Answer is the result of the proposal or read that was submitted with Token.
type Answer struct {
	Token    uint64
	Decision Decision
}

func (Send) replicationEffect()    {}
func (Save) replicationEffect()    {}
func (Publish) replicationEffect() {}
func (Answer) replicationEffect()  {}

// Effects returns the effects since the last call, in order. The caller may keep the slice.
func (r *Replica) Effects() []Effect {
	effects := r.effects
	r.effects = nil
	return effects
}

func (r *Replica) send(to string, m Message) {
	if to == r.Self.Address {
		return
	}
	r.effects = append(r.effects, Send{To: to, Message: m})
}

func (r *Replica) answer(token uint64, d Decision) {
	r.effects = append(r.effects, Answer{Token: token, Decision: d})
}
