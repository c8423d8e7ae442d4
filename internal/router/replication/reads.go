package replication

import (
	"net/http"
	"slices"
	"time"
)

// confirmation is the pending answer to a read, or to a proposal that the machine rejected. It is given once a majority has
// confirmed, after the request came, that this replica is still the primary. Without that, another primary may have
// committed entries that this one does not have.
type confirmation struct {
	token           uint64
	heartbeatNumber uint64 // a majority has to answer this heartbeat or a later one
	decision        Decision
}

// Confirm submits a read. An Answer with the token and status 200 follows as soon as a majority has confirmed that this
// replica is still the primary: the state published last by then is current for this read. The Answer has status 503 if
// this replica is not the primary, or is no longer.
func (r *Replica) Confirm(token uint64, now time.Duration) {
	r.now = now
	if r.role != primary {
		r.answer(token, unavailable(reasonNotPrimary))
		return
	}
	r.confirmThenAnswer(token, Decision{Status: http.StatusOK})
}

// confirmThenAnswer broadcasts a heartbeat, and gives the answer once a majority has acknowledged it.
func (r *Replica) confirmThenAnswer(token uint64, d Decision) {
	r.broadcastHeartbeat()
	l := &r.leadership
	l.confirmations = append(l.confirmations, confirmation{token: token, heartbeatNumber: l.heartbeatNumber, decision: d})
	r.answerConfirmed()
}

// answerConfirmed gives the pending answers whose heartbeat a majority has acknowledged.
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
