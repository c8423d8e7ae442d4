package replication

import (
	"net/http"
	"slices"
	"time"
)

// Reads and refusals. Both are answered only after a majority has confirmed, since the question came, that this is the primary still.

// confirmation is an answer that waits until a majority has said that this is still the primary.
type confirmation struct {
	token    uint64
	beat     uint64
	decision Decision
}

// Confirm asks for an Answer with status 200 as soon as a majority has said that this is still the primary.
func (r *Replica) Confirm(token uint64, now time.Duration) {
	r.now = now
	if r.role != primary {
		r.answer(token, Decision{Status: statusUnavailable, Reason: "not the primary"})
		return
	}
	r.confirm(token, Decision{Status: http.StatusOK})
}

func (r *Replica) confirm(token uint64, d Decision) {
	r.heartbeat()
	r.leading.confirms = append(r.leading.confirms, confirmation{token: token, beat: r.leading.beat, decision: d})
	r.checkConfirms()
}

func (r *Replica) checkConfirms() {
	l := &r.leading
	l.confirms = slices.DeleteFunc(l.confirms, func(c confirmation) bool {
		votes := map[string]bool{}
		for id, a := range l.acked {
			votes[id] = a.beat >= c.beat
		}
		if !majority(l.view.Members, votes) {
			return false
		}
		r.answer(c.token, c.decision)
		return true
	})
}
