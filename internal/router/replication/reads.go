package replication

import (
	"net/http"
	"slices"
	"time"
)

// confirmation is a read or a rejection that waits until a majority has confirmed, since the request came, that this is
// still the primary: another primary may have committed what this one does not know.
type confirmation struct {
	token           uint64
	heartbeatNumber uint64 // a majority has to answer this heartbeat or a later one
	decision        Decision
}

// Confirm asks for an Answer to a read: with status 200 as soon as a majority has confirmed that this is still the
// primary. What was published by then may be read. The Answer has status 503 where this is not the primary or stops
// being it.
func (r *Replica) Confirm(token uint64, now time.Duration) {
	r.now = now
	if r.role != primary {
		r.answer(token, unavailable(reasonNotPrimary))
		return
	}
	r.confirmThenAnswer(token, Decision{Status: http.StatusOK})
}

// confirmThenAnswer gives an answer once a heartbeat that is sent now has been answered by a majority.
func (r *Replica) confirmThenAnswer(token uint64, d Decision) {
	r.broadcastHeartbeat()
	l := &r.leadership
	l.confirmations = append(l.confirmations, confirmation{token: token, heartbeatNumber: l.heartbeatNumber, decision: d})
	r.answerConfirmed()
}

// answerConfirmed gives the answers that a majority has confirmed.
func (r *Replica) answerConfirmed() {
	l := &r.leadership
	l.confirmations = slices.DeleteFunc(l.confirmations, func(c confirmation) bool {
		votes := map[string]bool{}
		for id, status := range l.statuses {
			votes[id] = status.heartbeatNumber >= c.heartbeatNumber
		}
		if !majority(l.view.Members, votes) {
			return false
		}
		r.answer(c.token, c.decision)
		return true
	})
}
