package replication

import "time"

// Before a candidacy, a replica without contact with a primary asks the others whether they have contact, and promises
// nothing meanwhile. Without this, a replica that has just started, or that can send but not receive, would end a working
// view.

const (
	preVoteInterval      = 100 * time.Millisecond
	preVoteReplyLifetime = 300 * time.Millisecond // the time for which a reply counts
)

// preVoteRound holds the pre-vote requests of a follower that suspects the primary to have failed, and the replies. It is
// empty otherwise.
type preVoteRound struct {
	lastRequest time.Duration
	replies     map[string]receivedPreVoteReply // by address; nil before the first request
}

// receivedPreVoteReply is a reply and the time at which it came.
type receivedPreVoteReply struct {
	PreVoteReply
	receivedAt time.Duration
}

// suspectsPrimary reports whether this replica is a follower that should become candidate if the others agree.
func (r *Replica) suspectsPrimary() bool {
	newest := r.newestKnownView()
	if r.role != follower || r.Diskless || r.diskStalled() || newest.Epoch.Round == 0 {
		return false
	}
	if r.knownView.Member(r.Self.ID) == nil && r.hard.Accepted.Member(r.Self.ID) == nil {
		return false // it is no member and has no vote
	}
	return r.now-r.follower.lastContact > electionTimeout+r.electionDelay()
}

// requestPreVotes sends PreVote to all replicas whose promise may be needed, at most once in preVoteInterval.
func (r *Replica) requestPreVotes() {
	if r.preVote.replies == nil {
		r.preVote.replies = map[string]receivedPreVoteReply{}
	} else if r.now-r.preVote.lastRequest < preVoteInterval {
		return
	}
	r.preVote.lastRequest = r.now
	for _, address := range r.contacts() {
		r.send(address, PreVote{From: r.Self})
	}
	r.evaluatePreVotes()
}

// handlePreVote answers as a Prepare would be answered, and changes nothing.
func (r *Replica) handlePreVote(m PreVote) {
	voters := r.voters()
	if len(voters) == 0 {
		return
	}
	leaderContact := r.role != follower || r.now-r.follower.lastContact < leaderStickiness
	r.send(m.From.Address, PreVoteReply{Voters: voters, Accepted: r.hard.Accepted, LeaderContact: leaderContact})
}

// handlePreVoteReply counts a reply. A reply that reports contact with a primary revokes an earlier one of the same sender.
func (r *Replica) handlePreVoteReply(m PreVoteReply, from string) {
	if r.preVote.replies == nil {
		return
	}
	if m.LeaderContact {
		delete(r.preVote.replies, from)
		return
	}
	r.preVote.replies[from] = receivedPreVoteReply{m, r.now}
	r.evaluatePreVotes()
}

// evaluatePreVotes begins a candidacy when a majority has no contact with a primary and this replica is in the in-sync set of
// the newest view among the replies. A candidate outside the in-sync set cannot lead, and would delay those that can: a
// witness that promised waits for an election timeout before it campaigns itself.
func (r *Replica) evaluatePreVotes() {
	newest := r.newestKnownView()
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
	r.preVote = preVoteRound{}
	r.campaign(false)
}

// newestKnownView returns the newer of the view that this replica accepted and the view that it knows to be in force.
func (r *Replica) newestKnownView() View {
	if r.knownView.Epoch.Less(r.hard.Accepted.Epoch) {
		return r.hard.Accepted
	}
	return r.knownView
}
