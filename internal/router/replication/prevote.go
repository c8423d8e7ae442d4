package replication

import "time"

// A replica that hears no primary asks the others first whether they hear one, and promises nothing meanwhile: one that has just
// started, or that a cut keeps from hearing, would otherwise end a view that works.

const (
	preVoteEvery = 100 * time.Millisecond
	preVoteGood  = 300 * time.Millisecond // for which an answer counts
)

// PreVote asks whether the receiver would promise an epoch to the sender.
type PreVote struct{ From Member }

// PreVoteReply answers PreVote.
type PreVoteReply struct {
	Voters        []string // the witness identities that would promise
	Accepted      View     // what they would say that they accepted
	LeaderContact bool     // they would promise nothing, for they hear of a primary or candidate
}

// preVote is what a follower that suspects the primary has heard from the others.
type preVote struct {
	asked   time.Duration
	replies map[string]datedReply // by address
}

type datedReply struct {
	PreVoteReply
	at time.Duration
}

// suspicious reports whether a follower should become a candidate, if the others agree.
func (r *Replica) suspicious() bool {
	newest := r.newestKnown()
	if r.role != follower || r.Witness || r.stalled() || newest.Epoch.Round == 0 {
		return false
	}
	if r.known.Member(r.Self.ID) == nil && r.hard.Accepted.Member(r.Self.ID) == nil {
		return false // it waits to be taken in
	}
	return r.now-r.heard > suspectAfter+r.electionTurn()
}

// askPreVotes asks all whose promise may be needed.
func (r *Replica) askPreVotes() {
	if r.preVote.replies == nil {
		r.preVote.replies = map[string]datedReply{}
	} else if r.now-r.preVote.asked < preVoteEvery {
		return
	}
	r.preVote.asked = r.now
	for _, address := range r.contacts() {
		r.send(address, PreVote{From: r.Self})
	}
	r.countPreVotes()
}

func (r *Replica) onPreVote(m PreVote) {
	voters := r.voters()
	if len(voters) == 0 {
		return
	}
	hears := r.role != follower || r.now-r.heard < heardRecently
	r.send(m.From.Address, PreVoteReply{Voters: voters, Accepted: r.hard.Accepted, LeaderContact: hears})
}

func (r *Replica) onPreVoteReply(m PreVoteReply, from string) {
	if r.preVote.replies == nil {
		return
	}
	if m.LeaderContact {
		delete(r.preVote.replies, from)
		return
	}
	r.preVote.replies[from] = datedReply{m, r.now}
	r.countPreVotes()
}

// countPreVotes begins a candidacy when a majority hears no primary and the promises would let this replica lead. One that is not in the
// in-sync set would stop those that are by asking: a promise gives the candidate time.
func (r *Replica) countPreVotes() {
	newest := r.newestKnown()
	agree := map[string]bool{}
	for _, id := range r.voters() {
		agree[id] = true
	}
	for _, reply := range r.preVote.replies {
		if r.now-reply.at >= preVoteGood {
			continue
		}
		newest = laterView(newest, reply.Accepted)
		for _, id := range reply.Voters {
			agree[id] = true
		}
	}
	if !r.suspicious() || !newest.inSync(r.Self.ID) || !majority(newest.Members, agree) || !majority(newest.Old, agree) {
		return
	}
	r.preVote = preVote{}
	r.campaign(false)
}

// newestKnown is the newest view that this replica accepted or knows to be in force.
func (r *Replica) newestKnown() View {
	if r.known.Epoch.Less(r.hard.Accepted.Epoch) {
		return r.hard.Accepted
	}
	return r.known
}
