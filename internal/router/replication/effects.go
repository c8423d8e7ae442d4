package replication

// Effect is something that the shell carries out for a replica. Effects are carried out in the order in which Effects
// returns them.
type Effect interface{ replicationEffect() }

// Send sends a message to the router at an address. It may be lost: the replica sends again what it needs.
type Send struct {
	To      string
	Message Message
}

// Save writes to the disk and syncs it. The shell then calls Saved or SaveFailed with Number. Saves keep their order,
// and after one that failed those without a snapshot fail too until one with a snapshot succeeds.
type Save struct {
	Number   uint64
	Hard     HardState
	Entry    *Entry          // to be added, or nil
	Snapshot *SnapshotRecord // to replace all entries, or nil
}

// Publish says that a state of the machine is committed.
type Publish struct {
	Position Position
	Entries  [][]byte // the newest ones that led to it, as far as they are in memory
	Value    any      // StateMachine.Value
}

// Answer ends the proposal or read with a token.
type Answer struct {
	Token    uint64
	Decision Decision
}

func (Send) replicationEffect()    {}
func (Save) replicationEffect()    {}
func (Publish) replicationEffect() {}
func (Answer) replicationEffect()  {}

// Effects returns the effects since the last call, in order. The caller keeps them.
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
