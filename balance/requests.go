package balance

// requestTable holds the requests that are open or have attempts in flight.
type requestTable struct {
	byID           map[RequestID]*request
	awaitingProbes []*request // which were not sent yet; some may have ended meanwhile
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
	streaming     bool      // an answer has begun and is read by the client: no deadline, no retry
	wakeAt        float64   // when its earliest timer is due; +Inf: none is set
	probed        []*server // servers that are probed for it, before its first send
	probeDeadline float64   // it waits for their reports until then; 0: it does not wait
	lastCost      float64   // of the last attempt that ended; see attemptCost
	totalCost     float64   // of all attempts that ended
	bodyConsumed  bool      // its body was read: it cannot be sent again
}

// inFlight reports whether the attempt of a number was made and has not ended.
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

// bodyLeaving reports whether an attempt is in flight whose body is still sent: until its last byte has
// left no time counts.
func (r *request) bodyLeaving() bool { return r.BodyOpen && r.live > 0 }

// closeRequest ends a request: it cancels what is in flight for it, and forgets it once nothing is.
func (b *Balancer) closeRequest(r *request) {
	r.done = true
	b.cancelOthers(r, -1)
	if r.live == 0 {
		delete(b.requests.byID, r.ID)
	}
}

// cancelOthers cancels the attempts of a request that are in flight, but for one (-1: all), where the
// settings allow that: their answers are of no use any more.
func (b *Balancer) cancelOthers(r *request, except int) {
	for i := range r.attempts {
		if r.attempts[i].live && i != except && b.cfg.Cancel {
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}

// send makes an attempt. A retry is taken off the retry budget with the cost of the attempt that it follows.
func (b *Balancer) send(r *request, s *server) {
	b.retryBudget -= r.lastCost
	s.Tokens--
	if !r.BodyOpen { // otherwise the server has no work before the last byte; see onBodySent
		s.countAttempt(1, r)
	}
	r.live++
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, live: true})
	b.emit(Action{Kind: Send, Request: r.ID, Server: s.ID})
}
