package balance

import "math"

// Health: what an outcome says of its server, of the load, and of the request it was for.

// health is the multiplier m.
func (b *Balancer) health(s *server) float64 {
	effective := s.errs * math.Exp(-math.Ln2*(b.now-s.lastErr)/halfLife)
	return bound(1-slope*effective, floorM, 1)
}

// resting: it left several attempts without an answer, or is out of reach. Then it takes its turn again.
func (b *Balancer) resting(s *server) bool { return b.now < s.restUntil }

// markOverdue counts an attempt far slower than its class as an error: a hung server would show too late.
func (b *Balancer) markOverdue(r *request) {
	for i := range r.tries {
		if a := &r.tries[i]; a.live && !a.overdue && b.now >= a.sent+b.overdueAfter(r) {
			a.overdue = true
			b.fault(a.s, false)
		}
	}
}

// overdueAfter goes by what the class's answers take now: in a crowd all are late, by no server's fault.
func (b *Balancer) overdueAfter(r *request) float64 {
	if r.stats.n < 5 {
		return r.class.LatencyTarget / 2
	}
	return r.stats.mean + lateDevs*r.stats.dev
}

// fault counts an error against m; a server rests at once when away, else after several, ever longer.
func (b *Balancer) fault(s *server, away bool) {
	s.errs, s.lastErr = s.errs+1, b.now
	b.learn(s, 3)
	if away || s.errs >= strikes {
		b.rest(s)
	}
}

func (b *Balancer) rest(s *server) {
	s.restUntil = b.now + b.longestAim*float64(int(1)<<min(s.rests, 3))
	s.rests++
}

// cancelOthers gives up what is still out for a request but for one attempt: it earns nothing any more.
func (b *Balancer) cancelOthers(r *request, keep int) {
	for i := range r.tries {
		if r.tries[i].live && i != keep && b.cfg.Cancel {
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}

func (b *Balancer) onOutcome(r *request, ev Outcome) {
	a := &r.tries[ev.Attempt]
	r.ended(a, ev.Result)
	r.lost = b.cost(r, ev)
	r.spent += r.lost
	r.bodyGone = r.bodyGone || ev.BodyConsumed
	b.judge(r, a, ev)
	if r.done || ev.Finished || r.stream {
		b.close(r)
	}
	b.step(r)
}

// cost is what a failed attempt took of the servers, as a part of an answer: one that broke off at once took
// next to nothing, and to make it again does no harm. A full queue, or a wait in vain, counts whole.
func (b *Balancer) cost(r *request, ev Outcome) float64 {
	switch {
	case ev.Result == Rejected || ev.Result == TimedOut || r.stats.n == 0:
		return 1
	case ev.Result == Failed: // an error may be the request's own: it must not go round all servers
		return 1
	}
	return bound(ev.Latency/math.Max(r.stats.mean, 1e-3), 0, 1)
}

// judge draws from an outcome what it says of the server and of the load.
func (b *Balancer) judge(r *request, a *attempt, ev Outcome) {
	s := a.s
	switch ev.Result {
	case OK:
		// It died and is back: a restart that the list has yet to tell. One connection lost is no death.
		if s.down && s.errs > 1 && !b.cold(s) {
			b.beginSlowStart(s, b.now)
		}
		s.resetHealth()
		s.answered = b.now
		b.answers.rate(b, 1, 0)
		b.time(ev.Latency / r.class.LatencyTarget)
		if b.now <= r.arrived+r.class.LatencyTarget {
			r.stats.served++
			r.tenant.served++
		}
		if r.stats.n > 0 {
			b.learn(s, ev.Latency/r.stats.mean)
		}
		r.stats.add(ev.Latency)
	case Cancelled, NotSent:
	default:
		if ev.Result == TimedOut { // else the slowest answers of all would never be seen
			b.time(ev.Latency / r.class.LatencyTarget)
			b.overran(r, a, ev.Latency)
		}
		s.down = s.down || ev.Result == Reset // a full connection table refuses too, but loses no connection
		if away := ev.Result == ConnectFailed; away || !a.overdue {
			b.fault(s, away)
		}
	}
}

// learn moves the learned size of a server, its kind and its zone until answers take equally long everywhere;
// took is relative to the class. The mean step is taken off: what all servers share is load, not size.
func (b *Balancer) learn(s *server, took float64) {
	if b.cold(s) {
		return
	}
	step := math.Max(-2, 1-took)
	b.drift += (step - b.drift) / 200
	b.learned++
	step = learnRate * (1 + eager/(1+b.learned/recent)) * (step - b.drift)
	s.size = bound(s.size+step, -maxSize, maxSize)
	b.kinds[s.Kind] = bound(b.kinds[s.Kind]+step/2, -maxSize, maxSize)
	b.zones[s.Zone] = bound(b.zones[s.Zone]+step/2, -maxSize, maxSize)
}
