package balance

// requestTable holds the requests that are open or have attempts in flight.
type requestTable struct {
	byID           map[RequestID]*request
	awaitingProbes []*request
}

// attempt is one send of a request.
type attempt struct {
	server   *server
	sentAt   float64
	live     bool // has not ended
	neverRan bool // proved not to have been executed
	overdue  bool // has been counted as a fault of its server
}

// request is a client's request with all its attempts.
type request struct {
	Request
	class         *Class
	stats         *classStats
	tenant        *servedCounts
	arrivedAt     float64
	deadline      float64
	attempts      []attempt
	live          int // attempts that have not ended
	done          bool
	streaming     bool
	wakeAt        float64   // when its next timer is due
	probed        []*server // before the first send
	probeDeadline float64   // it waits for them until then
	lastCost      float64   // of the last attempt, lost; see attemptCost
	totalCost     float64   // of all attempts
	bodyConsumed  bool      // it cannot be sent again
}

// inFlight reports whether an attempt was made and has not ended.
func (r *request) inFlight(number int) bool {
	return number >= 0 && number < len(r.attempts) && r.attempts[number].live
}

// endAttempt marks an attempt as ended.
func (r *request) endAttempt(a *attempt, result Result) {
	a.live, a.neverRan = false, result.NeverRan()
	if !r.BodyOpen {
		a.server.countAttempt(-1, r)
	}
	r.live--
}

// bodyLeaving: an attempt is out while the body still comes. Nothing is late before its last byte has left.
func (r *request) bodyLeaving() bool { return r.BodyOpen && r.live > 0 }

// closeRequest marks a request as answered and cancels what is still out for it.
func (b *Balancer) closeRequest(r *request) {
	r.done = true
	b.cancelOthers(r, -1)
	if r.live == 0 {
		delete(b.requests.byID, r.ID)
	}
}

// cancelOthers cancels what is out for a request but one attempt: its answer is of no use any more.
func (b *Balancer) cancelOthers(r *request, except int) {
	for i := range r.attempts {
		if r.attempts[i].live && i != except && b.cfg.Cancel {
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}

// send makes an attempt and counts it.
func (b *Balancer) send(r *request, s *server) {
	b.retryBudget -= r.lastCost
	s.Tokens--
	if !r.BodyOpen { // else the server has no work before its last byte
		s.countAttempt(1, r)
	}
	r.live++
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, live: true})
	b.emit(Action{Kind: Send, Request: r.ID, Server: s.ID})
}
