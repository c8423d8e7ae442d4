package replication

import (
	"net/http"
	"slices"
	"time"
)

// leadership is what a primary knows. A primary that campaigns for the view after its own keeps it.
type leadership struct {
	view         View
	viewSince    time.Duration // when the view came into force
	primarySince time.Duration // when this replica became primary: all views since then are its own

	proposals []proposal // that wait for the staged one
	staged    stagedEntry
	committed uint64 // sequence of the last committed entry

	heartbeatNumber uint64 // of the last heartbeat
	lastHeartbeat   time.Duration
	statuses        map[string]replicaStatus    // by ID; nil where this is no leadership
	learners        map[string]*learnerProgress // by ID
	confirmations   []confirmation

	review viewReview
}

// viewReview is when a primary last proposed a change of its view.
type viewReview struct {
	reviewedAt time.Duration
	lastChange string        // as wantedChange named it
	backoff    time.Duration // until that change is proposed again
}

// becomePrimary begins a leadership, or continues one: the candidate's view is in force.
func (r *Replica) becomePrimary() {
	old := r.leadership
	next := r.nextLeadership(&old)
	r.role = primary
	r.knownView = next.view
	r.hard.Accepted = r.knownView
	r.saveHardState(nil)
	r.leadership = next
	r.countPromisesAsContact()
	r.publish()
	if old.staged.proposal != nil { // its entry is part of the state that this view began with
		r.answer(old.staged.proposal.token, Decision{Accept: true, Status: http.StatusOK})
	}
	r.broadcastHeartbeat()
	r.nextProposal()
}

// nextLeadership returns the leadership for the accepted view; old is the one before, or empty.
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
	if old.statuses != nil { // it was primary before: who was unreachable then still is
		next.statuses, next.primarySince, next.review.lastChange = old.statuses, old.primarySince, old.review.lastChange
	}
	if slices.Equal(old.view.InSync, next.view.InSync) && slices.Equal(old.view.Members, next.view.Members) {
		next.review.backoff = min(maxViewReviewBackoff, max(viewReviewInterval, 2*old.review.backoff)) // the change brought nothing
	}
	next.view.Old = next.view.Members // it is in force: the members before need not agree any more
	return next
}

// countPromisesAsContact notes that the members that promised are reachable.
func (r *Replica) countPromisesAsContact() {
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

// campaignAsPrimary proposes the next view with what this primary has, staged entry included.
func (r *Replica) campaignAsPrimary() {
	for _, c := range r.leadership.confirmations {
		r.answer(c.token, unavailable(reasonViewChanges))
	}
	r.leadership.confirmations = nil
	r.campaign(true)
}

// reviewView proposes a change of the view where one is wanted. A change that was proposed and brought nothing has a
// backoff; another one has none.
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
