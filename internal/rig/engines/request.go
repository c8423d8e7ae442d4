package engines

import (
	"fmt"
	"time"

	"petrelhook/internal/router/placement"
)

// request is one on its way.
type request struct {
	f      *fleet
	a      *arrival
	class  *Class
	router *router
	place  placement.Request
	sends  int
	got    int // events
	first  time.Duration
	last   time.Duration // when the last event came
	pause  time.Duration // the longest
	done   bool
	send   *send
}

// send is a request at one server.
type send struct {
	q      *request
	server *server
	known  *placement.Server
	run    *run
	work   placement.Work
	sent   time.Duration
	over   bool
}

const routerTime = 300 * time.Microsecond

func (f *fleet) begin(a *arrival) {
	q := &request{f: f, a: a, class: &f.spec.Classes[a.class], router: f.routers[a.router]}
	q.place = placement.Request{MaxGap: q.class.Pause, PromptTokens: a.prompt(), MaxOutputTokens: a.events * f.spec.Engine.Stride, Tried: map[string]bool{}}
	if n := len(a.parts); n > 0 {
		q.place.PrefixKey, q.place.SharedTokens, q.place.PrefixTokens = fmt.Sprintf("%x", a.parts[n-1].key), a.shared(), a.parts[n-1].tokens
	}
	f.schedule.at(a.at+f.spec.Network.Client+f.linkTime(a)+routerTime, q.choose)
	f.schedule.at(a.at+q.class.Deadline, q.giveUp)
}

// linkTime is how long a prompt takes over a router's link.
func (f *fleet) linkTime(a *arrival) time.Duration {
	return time.Duration(float64(a.prompt()*8) / f.spec.Network.LinkMbps * float64(time.Microsecond))
}

func (q *request) long() bool { return q.place.DecodeHeavy() }

// choose sends a request to a server, or loses it.
func (q *request) choose() {
	if q.done {
		return
	}
	s := q.pick()
	if s == nil || q.sends >= q.class.Attempts+2 {
		q.lose()
		return
	}
	known := q.router.known[s.index]
	q.place.Tried[known.ID] = true
	q.sends++
	kept := q.router.pool.PrefixCached(q.place, known, q.f.schedule.now)
	one := &send{q: q, server: s, known: known, sent: q.f.schedule.now, work: q.place.Work(kept)}
	q.send = one
	known.Begin(one.work)
	if q.place.HasAffinity() {
		key := placement.HashPrefix(q.place.PrefixKey)
		q.router.pool.RecordUse(key, known.ID, q.f.schedule.now)
		q.router.uses.Add(key, known.ID)
	}
	way := q.f.way(q.router.zone, s.zone)
	if q.router.zone != s.zone {
		q.f.score.crossed += float64(q.a.prompt())
	}
	q.f.schedule.at(q.f.schedule.now+way+q.f.linkTime(q.a), func() { one.arrive(way) })
}

func (q *request) pick() *server {
	if choose := q.f.policy.choose; choose != nil && q.sends == 0 {
		return choose(q.f, q.router, q)
	}
	usable := func(*placement.Server) bool { return true }
	var known *placement.Server
	if q.sends == 0 {
		known = q.router.pool.Pick(q.place, usable, q.f.schedule.now)
	} else {
		known = q.router.pool.Reroute(q.place, usable, q.f.schedule.now)
	}
	if known == nil {
		return nil
	}
	for i, k := range q.router.known {
		if k == known {
			return q.f.servers[i]
		}
	}
	return nil
}

// arrive has a request come to its server.
func (o *send) arrive(way time.Duration) {
	now := o.q.f.schedule.now
	if o.over {
		return
	}
	if o.server.down {
		o.q.f.schedule.at(now+way, func() { o.fail(true) })
		return
	}
	o.q.f.score.arrivals[o.server.index]++
	o.q.f.score.reread(o.server, o.q.a, now)
	o.run = &run{a: o.q.a, from: o.q.got}
	o.run.event = func(n int, last bool) { o.q.f.schedule.at(o.q.f.schedule.now+way, func() { o.event(n, last) }) }
	o.run.ended = func(ok bool) {
		if !ok {
			o.q.f.schedule.at(o.q.f.schedule.now+way, func() { o.fail(false) })
		}
	}
	if !o.server.take(o.run) {
		o.q.f.schedule.at(now+way, func() { o.fail(true) })
	}
}

// event has an event come to the router, and then to the client.
func (o *send) event(n int, last bool) {
	q, now := o.q, o.q.f.schedule.now
	if o.over || q.done || n != q.got {
		return
	}
	if o.work.PrefillTokens > 0 {
		q.router.pool.ObservePrefill(o.work.PrefillTokens, now-o.sent, now)
		o.known.End(placement.Work{PrefillTokens: o.work.PrefillTokens})
		o.work.PrefillTokens = 0
	}
	at := now + q.f.spec.Network.Client
	if q.got == 0 {
		q.first = at
	} else {
		q.pause = max(q.pause, at-q.last)
	}
	q.got, q.last = n+1, at
	if last {
		o.known.Health.Success()
		o.finish()
		q.done = true
		q.f.score.served(q)
		return
	}
	o.watch()
}

// watch has a long answer taken up elsewhere when its next event does not come in time.
func (o *send) watch() {
	q := o.q
	if q.f.policy.stall == 0 || !q.class.Resumable || q.sends >= q.class.Attempts {
		return
	}
	got := q.got
	q.f.schedule.at(q.f.schedule.now+time.Duration(q.f.policy.stall*float64(q.class.Pause)), func() {
		if o.over || q.done || q.got != got {
			return
		}
		o.finish()
		server, run := o.server, o.run
		q.f.schedule.at(q.f.schedule.now+q.f.way(q.router.zone, server.zone), func() { server.cancel(run) })
		q.f.score.moved++
		q.choose()
	})
}

// finish takes back what was noted at the server.
func (o *send) finish() {
	if !o.over {
		o.over = true
		o.known.End(o.work)
	}
}

// fail goes on at another server where that is allowed.
func (o *send) fail(unsent bool) {
	if o.over || o.q.done {
		return
	}
	o.finish()
	o.known.Health.Failure(o.q.f.schedule.now, unsent)
	if unsent {
		o.q.sends-- // it never ran
		if len(o.q.place.Tried) > 3 {
			o.q.lose()
			return
		}
	} else if !o.q.class.Resumable || o.q.sends >= o.q.class.Attempts {
		o.q.lose()
		return
	}
	o.q.choose()
}

func (q *request) giveUp() {
	if q.done {
		return
	}
	if q.send != nil && !q.send.over {
		q.send.finish()
		if q.send.run != nil {
			q.send.server.cancel(q.send.run)
		}
	}
	q.lose()
}

func (q *request) lose() {
	if !q.done {
		q.done = true
		q.f.score.lost(q)
	}
}
