package engines

import (
	"fmt"
	"time"

	"petrelhook/internal/router/placement"
)

const (
	routerDelay     = 300 * time.Microsecond
	maxServersTried = 3 // by a request that none of them received, beyond which it is lost
	extraAttempts   = 2 // beyond a class's attempts
)

// request is an arrival on its way through a router.
type request struct {
	sim       *simulation
	arrival   *arrival
	class     *Class
	router    *router
	placement placement.Request
	attempts  int
	attempt   *attempt // the last one; nil: there was none
	done      bool
	stream    streamProgress
}

// streamProgress is what the client has received.
type streamProgress struct {
	events       int
	firstEventAt time.Duration
	lastEventAt  time.Duration
	maxGap       time.Duration
}

// startRequest schedules a request's arrival at its router, and its deadline.
func (sim *simulation) startRequest(a *arrival) {
	class := &sim.spec.Classes[a.class]
	r := &request{sim: sim, arrival: a, class: class, router: sim.routers[a.router]}
	r.placement = placement.Request{MaxGap: class.GapTarget, PromptTokens: a.promptTokens(), MaxOutputTokens: a.events * sim.spec.Engine.TokensPerEvent, Tried: map[string]bool{}}
	if n := len(a.parts); n > 0 {
		last := a.parts[n-1]
		r.placement.PrefixKey, r.placement.SharedTokens, r.placement.PrefixTokens = fmt.Sprintf("%x", last.key), a.sharedTokens(), last.tokens
	}
	sim.schedule.at(a.at+sim.spec.Network.ClientDelay+sim.linkTime(a)+routerDelay, r.send)
	sim.schedule.at(a.at+class.Deadline, r.giveUp)
}

// linkTime is how long a prompt takes over a router's link; a token is a byte there.
func (sim *simulation) linkTime(a *arrival) time.Duration {
	return time.Duration(float64(a.promptTokens()*8) / sim.spec.Network.LinkMbps * float64(time.Microsecond))
}

// decodeHeavy reports whether most of the work is generating tokens.
func (r *request) decodeHeavy() bool { return r.placement.DecodeHeavy() }

// send sends a request to a server, or loses it.
func (r *request) send() {
	if r.done {
		return
	}
	s := r.pick()
	if s == nil || r.attempts >= r.class.Attempts+extraAttempts {
		r.lose()
		return
	}
	now := r.sim.schedule.now
	view := r.router.views[s.index]
	r.placement.Tried[view.ID] = true
	r.attempts++
	cached := r.router.pool.PrefixCached(r.placement, view, now)
	a := &attempt{request: r, server: s, view: view, sentAt: now, work: r.placement.Work(cached), delay: r.sim.delay(r.router.zone, s.zone)}
	r.attempt = a
	view.Begin(a.work)
	if r.placement.HasAffinity() {
		key := placement.HashPrefix(r.placement.PrefixKey)
		r.router.pool.RecordUse(key, view.ID, now)
		r.router.uses.Add(key, view.ID)
	}
	if r.router.zone != s.zone {
		r.sim.score.crossZoneBytes += float64(r.arrival.promptTokens())
	}
	r.sim.schedule.at(now+a.delay+r.sim.linkTime(r.arrival), a.arrive)
}

// pick chooses a server by the policy; nil: there is none.
func (r *request) pick() *server {
	if choose := r.sim.policy.choose; choose != nil && r.attempts == 0 {
		return choose(r.sim, r.router, r)
	}
	usable := func(*placement.Server) bool { return true }
	var chosen *placement.Server
	if r.attempts == 0 {
		chosen = r.router.pool.Pick(r.placement, usable, r.sim.schedule.now)
	} else {
		chosen = r.router.pool.Reroute(r.placement, usable, r.sim.schedule.now)
	}
	if chosen == nil {
		return nil
	}
	for i, view := range r.router.views {
		if view == chosen {
			return r.sim.servers[i]
		}
	}
	return nil
}

// giveUp loses a request at its deadline.
func (r *request) giveUp() {
	if r.done {
		return
	}
	if a := r.attempt; a != nil && !a.over {
		a.finish()
		if a.run != nil {
			a.server.cancel(a.run)
		}
	}
	r.lose()
}

// lose ends a request without a complete answer.
func (r *request) lose() {
	if !r.done {
		r.done = true
		r.sim.score.recordLost(r)
	}
}
