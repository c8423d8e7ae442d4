package engines

import (
	"time"

	"petrelhook/internal/router/placement"
)

// attempt is a request at one server.
type attempt struct {
	request *request
	server  *server
	view    *placement.Server // the router's
	run     *run              // nil: it has not arrived
	work    placement.Work    // that the router has added to its view
	sentAt  time.Duration
	delay   time.Duration // from the router to the server, and back
	over    bool
}

// arrive has the request arrive at its server.
func (a *attempt) arrive() {
	if a.over {
		return
	}
	sim := a.request.sim
	if a.server.down {
		sim.schedule.after(a.delay, func() { a.fail(true) })
		return
	}
	sim.score.arrivals[a.server.index]++
	sim.score.recordReread(a.server, a.request.arrival, sim.schedule.now)
	a.run = &run{arrival: a.request.arrival, resumeFrom: a.request.stream.events}
	a.run.onEvent = func(n int, last bool) { sim.schedule.after(a.delay, func() { a.event(n, last) }) }
	a.run.onEnd = func(ok bool) {
		if !ok {
			sim.schedule.after(a.delay, func() { a.fail(false) })
		}
	}
	if !a.server.accept(a.run) {
		sim.schedule.after(a.delay, func() { a.fail(true) })
	}
}

// event has an event arrive at the router, and then at the client.
func (a *attempt) event(n int, last bool) {
	r, now := a.request, a.request.sim.schedule.now
	if a.over || r.done || n != r.stream.events {
		return
	}
	if a.work.PrefillTokens > 0 {
		r.router.pool.ObservePrefill(a.work.PrefillTokens, now-a.sentAt, now)
		a.view.End(placement.Work{PrefillTokens: a.work.PrefillTokens})
		a.work.PrefillTokens = 0
	}
	r.stream.record(now + r.sim.spec.Network.ClientDelay)
	if last {
		a.view.Health.Success()
		a.finish()
		r.done = true
		r.sim.score.recordServed(r)
		return
	}
	a.watchStall()
}

// record adds an event that arrives at the client at a time.
func (s *streamProgress) record(at time.Duration) {
	if s.events == 0 {
		s.firstEventAt = at
	} else {
		s.maxGap = max(s.maxGap, at-s.lastEventAt)
	}
	s.events, s.lastEventAt = s.events+1, at
}

// watchStall has a long answer continue at another server when its next event does not come in time.
func (a *attempt) watchStall() {
	r := a.request
	if r.sim.policy.stallFraction == 0 || !r.class.Resumable || r.attempts >= r.class.Attempts {
		return
	}
	events := r.stream.events
	r.sim.schedule.after(time.Duration(r.sim.policy.stallFraction*float64(r.class.GapTarget)), func() {
		if a.over || r.done || r.stream.events != events {
			return
		}
		a.finish()
		r.sim.schedule.after(a.delay, func() { a.server.cancel(a.run) })
		r.sim.score.migrated++
		r.send()
	})
}

// finish removes the work that is left from the router's view.
func (a *attempt) finish() {
	if !a.over {
		a.over = true
		a.view.End(a.work)
	}
}

// fail sends the request to another server if that is allowed; unsent means that it never ran.
func (a *attempt) fail(unsent bool) {
	r := a.request
	if a.over || r.done {
		return
	}
	a.finish()
	a.view.Health.Failure(r.sim.schedule.now, unsent)
	if unsent {
		r.attempts--
		if len(r.placement.Tried) > maxServersTried {
			r.lose()
			return
		}
	} else if !r.class.Resumable || r.attempts >= r.class.Attempts {
		r.lose()
		return
	}
	r.send()
}
