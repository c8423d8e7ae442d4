package replication

import "time"

// A replica without contact with a primary asks the others first whether they have it, and promises nothing meanwhile:
// one that has just started, or that a partition keeps from receiving, would otherwise end a view that works.

const (
	preVoteInterval      = 100 * time.Millisecond
	preVoteReplyLifetime = 300 * time.Millisecond // for which an answer counts
)

// preVoteRequests is what a follower that suspects the primary has asked and been answered. It is empty while it
// suspects nobody.
type preVoteRequests struct {
	lastRequest time.Duration
	replies     map[string]receivedPreVote // by address; nil before the first request
}

// receivedPreVote is an answer and when it came.
type receivedPreVote struct {
	PreVoteReply
	receivedAt time.Duration
}

// suspectsPrimary reports whether a follower should become a candidate, if the others agree.
func (r *Replica) suspectsPrimary() bool {
	newest := r.newestKnown()
	if r.role != follower || r.Diskless || r.diskStalled() || newest.Epoch.Round == 0 {
		return false
	}
	if r.knownView.Member(r.Self.ID) == nil && r.hard.Accepted.Member(r.Self.ID) == nil {
		return false // it waits to become a member
	}
	return r.now-r.follower.lastContact > electionTimeout+r.electionDelay()
}

// requestPreVotes asks all whose promise may be needed, at most once in preVoteInterval.
func (r *Replica) requestPreVotes() {
	if r.preVote.replies == nil {
		r.preVote.replies = map[string]receivedPreVote{}
	} else if r.now-r.preVote.lastRequest < preVoteInterval {
		return
	}
	r.preVote.lastRequest = r.now
	for _, address := range r.contacts() {
		r.send(address, PreVote{From: r.Self})
	}
	r.countPreVotes()
}

// handlePreVote answers what a Prepare would be answered, and changes nothing.
func (r *Replica) handlePreVote(m PreVote) {
	voters := r.voters()
	if len(voters) == 0 {
		return
	}
	leaderContact := r.role != follower || r.now-r.follower.lastContact < leaderStickiness
	r.send(m.From.Address, PreVoteReply{Voters: voters, Accepted: r.hard.Accepted, LeaderContact: leaderContact})
}

// handlePreVoteReply counts an answer; contact with a primary takes an earlier one back.
func (r *Replica) handlePreVoteReply(m PreVoteReply, from string) {
	if r.preVote.replies == nil {
		return
	}
	if m.LeaderContact {
		delete(r.preVote.replies, from)
		return
	}
	r.preVote.replies[from] = receivedPreVote{m, r.now}
	r.countPreVotes()
}

// countPreVotes begins a candidacy when a majority has no contact with a primary and the promises would let this
// replica lead. One that is not in the in-sync set would hinder those that are by asking for promises: a promise gives
// the candidate time.
func (r *Replica) countPreVotes() {
	newest := r.newestKnown()
	votes := map[string]bool{}
	for _, id := range r.voters() {
		votes[id] = true
	}
	for _, reply := range r.preVote.replies {
		if r.now-reply.receivedAt >= preVoteReplyLifetime {
			continue
		}
		newest = laterView(newest, reply.Accepted)
		for _, id := range reply.Voters {
			votes[id] = true
		}
	}
	if !r.suspectsPrimary() || !newest.inSync(r.Self.ID) || !majority(newest.Members, votes) || !majority(newest.Old, votes) {
		return
	}
	r.preVote = preVoteRequests{}
	r.campaign(false)
}

// newestKnown returns the newest view that this replica accepted or knows to be in force.
func (r *Replica) newestKnown() View {
	if r.knownView.Epoch.Less(r.hard.Accepted.Epoch) {
		return r.hard.Accepted
	}
	return r.knownView
}
