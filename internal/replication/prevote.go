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
	Voters []string // the witness identities that would promise
	Hears  bool     // ... but hear of a primary or candidate
}

// preVote is what a follower that suspects the primary has heard from the others.
type preVote struct {
	asked time.Duration
	votes map[string]time.Duration // by witness identity, when
}

// suspicious reports whether a follower should become a candidate, if the others agree.
func (r *Replica) suspicious() bool {
	if r.role != follower || r.Witness || r.stalled() || r.known.Epoch.Round == 0 {
		return false
	}
	if r.known.Member(r.Self.ID) == nil && r.hard.Accepted.Member(r.Self.ID) == nil {
		return false // it waits to be taken in
	}
	return r.now-r.heard > suspectAfter+r.electionTurn()
}

// askPreVotes asks all whose promise may be needed.
func (r *Replica) askPreVotes() {
	if r.preVote.votes != nil && r.now-r.preVote.asked < preVoteEvery {
		return
	}
	if r.preVote.votes == nil {
		r.preVote.votes = map[string]time.Duration{}
	}
	r.preVote.asked = r.now
	for address := range r.contacts() {
		r.send(address, PreVote{From: r.Self})
	}
	r.countPreVotes(r.voters())
}

func (r *Replica) onPreVote(m PreVote) {
	voters := r.voters()
	if len(voters) == 0 {
		return
	}
	r.send(m.From.Address, PreVoteReply{Voters: voters, Hears: r.role != follower || r.now-r.heard < heardRecently})
}

func (r *Replica) onPreVoteReply(m PreVoteReply) {
	if r.preVote.votes == nil {
		return
	}
	if m.Hears {
		for _, v := range m.Voters {
			delete(r.preVote.votes, v)
		}
		return
	}
	r.countPreVotes(m.Voters)
}

// countPreVotes takes in answers, and begins a candidacy when a majority hears no primary.
func (r *Replica) countPreVotes(voters []string) {
	for _, v := range voters {
		r.preVote.votes[v] = r.now
	}
	agree := map[string]bool{}
	for v, at := range r.preVote.votes {
		agree[v] = r.now-at < preVoteGood
	}
	newest := r.known
	if newest.Epoch.Less(r.hard.Accepted.Epoch) {
		newest = r.hard.Accepted
	}
	if !r.suspicious() || !majority(newest.Members, agree) || !majority(newest.Old, agree) {
		return
	}
	r.preVote = preVote{}
	r.campaign(false)
}
