package balance

// requestTable holds the requests that are open or have attempts in flight.
type requestTable struct {
	byID           map[RequestID]*request
	awaitingProbes []*request // not sent yet; some may have ended meanwhile
}

// attempt is one send of a request.
type attempt struct {
	server   *server
	sentAt   float64
	live     bool // has not ended
	neverRan bool // proved not to have been executed
	overdue  bool // was counted as an error of its server while in flight
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
	live          int       // attempts that have not ended
	done          bool      // it has its answer, or needs none
	streaming     bool      // the client is reading a streamed answer: no deadline, no retry
	wakeAt        float64   // when its earliest timer is due; +Inf: none is set
	probed        []*server // servers that are probed for it before its first send
	probeDeadline float64   // until when it waits for their reports; 0: it does not wait
	lastCost      float64   // of the last attempt that ended; see attemptCost
	totalCost     float64   // of all attempts that ended
	bodyConsumed  bool      // its body was read: it cannot be sent again
}

// inFlight reports whether the attempt with a number was made and has not ended.
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

// sendingBody reports whether an attempt is in flight whose body is still being sent. No time limits apply
// until its last byte has been sent.
func (r *request) sendingBody() bool { return r.BodyOpen && r.live > 0 }

// closeRequest ends a request: it cancels the attempts in flight, and forgets the request if there are none.
func (b *Balancer) closeRequest(r *request) {
	r.done = true
	b.cancelOthers(r, -1)
	if r.live == 0 {
		delete(b.requests.byID, r.ID)
	}
}

// cancelOthers cancels the attempts of a request that are in flight, except one (-1: none), if the settings
// allow it. Their answers are no longer needed.
func (b *Balancer) cancelOthers(r *request, except int) {
	for i := range r.attempts {
		if r.attempts[i].live && i != except && b.cfg.Cancel {
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}

// send makes an attempt. A retry reduces the retry budget by the cost of the attempt before it.
func (b *Balancer) send(r *request, s *server) {
	b.retryBudget -= r.lastCost
	s.Tokens--
	if !r.BodyOpen { // otherwise the server has no work until the last byte; see onBodySent
		s.countAttempt(1, r)
	}
	r.live++
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, live: true})
	b.emit(Action{Kind: Send, Request: r.ID, Server: s.ID})
}
