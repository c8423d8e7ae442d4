package replication

import (
	"net/http"
	"slices"
	"time"
)

// leadership is the state of a primary. A primary keeps it while it campaigns for the view after its own.
type leadership struct {
	view         View
	viewSince    time.Duration // when the view came into force
	primarySince time.Duration // when this replica became primary: it is the primary of all views since then

	proposals []proposal // queue behind the staged one
	staged    stagedEntry
	committed uint64 // sequence of the last committed entry

	heartbeatNumber uint64 // of the last heartbeat
	lastHeartbeat   time.Duration
	statuses        map[string]replicaStatus    // by ID; nil in an empty leadership
	learners        map[string]*learnerProgress // by ID
	confirmations   []confirmation

	review viewReview
}

// viewReview holds the last change that a primary proposed to its view.
type viewReview struct {
	reviewedAt time.Duration
	lastChange string        // as returned by wantedChange
	backoff    time.Duration // least time until the same change is proposed again
}

// becomePrimary begins a leadership, or continues one. It is called when the candidate's view has come into force.
func (r *Replica) becomePrimary() {
	old := r.leadership
	next := r.nextLeadership(&old)
	r.role = primary
	r.knownView = next.view
	r.hard.Accepted = r.knownView
	r.saveHardState(nil)
	r.leadership = next
	r.recordPromisesAsContact()
	r.publish()
	if old.staged.proposal != nil { // its entry is part of the state that the in-sync set synced
		r.answer(old.staged.proposal.token, Decision{Accept: true, Status: http.StatusOK})
	}
	r.broadcastHeartbeat()
	r.stageNextProposal()
}

// nextLeadership returns the leadership for the accepted view. old is this replica's previous leadership, or empty.
func (r *Replica) nextLeadership(old *leadership) leadership {
	next := leadership{
		view:            r.election.accept.view,
		viewSince:       r.now,
		primarySince:    r.now,
		proposals:       old.proposals,
		committed:       r.state.position.Sequence,
		heartbeatNumber: old.heartbeatNumber,
		statuses:        map[string]replicaStatus{},
		learners:        map[string]*learnerProgress{},
		confirmations:   old.confirmations,
		review:          viewReview{reviewedAt: r.now},
	}
	if old.statuses != nil { // it was primary before: a replica that was unreachable then still counts as unreachable
		next.statuses, next.primarySince, next.review.lastChange = old.statuses, old.primarySince, old.review.lastChange
	}
	if slices.Equal(old.view.InSync, next.view.InSync) && slices.Equal(old.view.Members, next.view.Members) {
		next.review.backoff = min(maxViewReviewBackoff, max(viewReviewInterval, 2*old.review.backoff)) // the proposed change did not come about
	}
	next.view.Old = next.view.Members // it is in force: the votes of the previous members are not needed any more
	return next
}

// recordPromisesAsContact records contact with the members that promised.
func (r *Replica) recordPromisesAsContact() {
	for address := range r.election.prepare.promises {
		for _, m := range r.knownView.Members {
			if m.Address == address {
				status := r.leadership.statuses[m.ID]
				status.member, status.lastContact = m, r.now
				r.leadership.statuses[m.ID] = status
			}
		}
	}
}

// campaignAsPrimary begins a candidacy for the next view with this primary's state, the staged entry included.
func (r *Replica) campaignAsPrimary() {
	for _, c := range r.leadership.confirmations {
		r.answer(c.token, unavailable(reasonViewChanges))
	}
	r.leadership.confirmations = nil
	r.campaign(true)
}

// reviewView proposes a change of the view where one is wanted. After a proposal that left the view the same there is a
// backoff for the same change, but not for other changes.
func (r *Replica) reviewView() {
	review := &r.leadership.review
	if r.now-review.reviewedAt < viewReviewInterval {
		return
	}
	wanted := r.wantedChange()
	if wanted == "" || wanted == review.lastChange && r.now-review.reviewedAt < review.backoff {
		return
	}
	review.reviewedAt = r.now
	if r.majorityReachable() {
		review.lastChange = wanted
		r.campaignAsPrimary()
	}
}
