// Package core is the life of a request, from 'taken' to 'its last attempt has ended': one goroutine, the loop, owns the
// decision module, its timers, and the tables of requests and servers, and carries out what the module decides. It takes
// no decision of its own, and it knows neither HTTP nor sockets: fronts hand requests in, sources tell of servers, and
// the servers' side carries out exchanges, each through the seam of its own package.
//
// Invariants: only the loop's goroutine reaches the module and the tables; a request gets one answer, and stays in its
// table until its last attempt has ended; an attempt has one end, told to the module once; an id is not taken again
// before the time of the request that had it is up.
package core

import (
	"context"
	"log/slog"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/member"
	"petrelhook/internal/sidecar/upstream"
)

// Config is what the core is told.
type Config struct {
	Module            balance.Config
	Names                         // that stand for positions in the module
	Known             member.List // the list of servers as last had; it may be old
	Previous          *Snapshot   // of the process before; nil: there was none. Its list counts where it is of the same source
	OnServerAvailable func()      // called, in the loop, when a server is first known that takes requests; nil: nobody is told
}

// Loop owns the decision module, its timers, and the tables of requests and servers. One goroutine runs it;
// others hand it functions to run there.
type Loop struct {
	clock  clock
	config Config
	b      *balance.Balancer
	up     upstream.Servers
	log    *slog.Logger
	events chan func()
	ended  chan struct{}

	// Owned by the loop's goroutine.
	ctx       context.Context
	source    member.Source
	timers    timers
	requests  map[balance.RequestID]*request
	ids       ids
	lastID    balance.RequestID
	servers   map[balance.ServerID]*server
	listed    map[string]member.Instance // by id, all that are not gone
	cursor    member.Cursor
	ready     bool // a server was known that takes requests
	stopWatch context.CancelFunc
	later     []func() // outcomes that an action had at once
}

// New makes a loop; Run runs it.
func New(c Config, source member.Source, up upstream.Servers, log *slog.Logger) *Loop {
	return &Loop{
		clock: newClock(), config: c, b: balance.New(c.Module), up: up, source: source, log: log,
		events: make(chan func(), 1024), ended: make(chan struct{}),
		requests: map[balance.RequestID]*request{}, ids: newIDs(), servers: map[balance.ServerID]*server{},
		listed: map[string]member.Instance{},
	}
}

// Run runs the loop until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.ended)
	l.ctx = ctx
	legacy := l.config.Previous
	if legacy != nil && legacy.Source == l.source.Name() {
		l.config.Known = legacy.List
	}
	l.cursor = member.Cursor{Zones: l.config.Zones, Kinds: l.config.Kinds}
	l.config.Known.Complete = true
	if err := l.cursor.Accept(l.config.Known); err != nil {
		l.log.Warn("the list last known is not taken", "err", err)
		l.config.Known = member.List{}
	}
	l.carryOut(l.b.Start(l.clock.now())) // the first watch asks for what came after it
	l.list(l.config.Known, balance.ListCached)
	if legacy != nil {
		l.inherit(legacy)
		l.config.Previous = nil
	}
	if !l.config.Module.Subscribe { // news comes unasked: the module does not call for what brings it
		l.watch()
	}
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.events:
			f()
		case <-tick.C:
		}
		l.fire()
		tick.Reset(l.idle())
	}
}

// forgetEvery is how often ids are forgotten where nothing else happens: an idle sidecar sleeps.
const forgetEvery = time.Second

// idle is how long nothing is due.
func (l *Loop) idle() time.Duration {
	wait := time.Hour
	if !l.ids.next.IsZero() {
		wait = forgetEvery
	}
	if len(l.timers) > 0 {
		wait = min(wait, max(0, time.Until(l.timers[0].due)))
	}
	return wait
}

// post has f run in the loop.
func (l *Loop) post(f func()) {
	select {
	case l.events <- f:
	case <-l.ended:
	}
}

// tell hands the module an event and carries out what it decides.
func (l *Loop) tell(ev balance.Event) error {
	actions, err := l.b.Handle(l.clock.now(), ev)
	if err != nil {
		l.log.Warn("the module refuses an event", "err", err)
		return err
	}
	l.carryOut(actions)
	for len(l.later) > 0 { // only now: actions are valid until the next event
		f := l.later[0]
		l.later = l.later[1:]
		f()
	}
	return nil
}

func (l *Loop) carryOut(actions []balance.Action) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case balance.Send:
			l.send(a)
		case balance.Reject:
			l.finish(a.Request, front.Answer{Verdict: front.Refused, RetryAfter: duration(a.After)})
		case balance.Fail:
			l.finish(a.Request, front.Answer{Verdict: front.Failed})
		case balance.Cancel:
			l.cancelAttempt(a)
		case balance.SetTimer:
			l.setTimer(a)
		case balance.Probe:
			l.probe(a.Server)
		case balance.CloseIdle:
			if s := l.servers[a.Server]; s != nil {
				s.end.CloseIdle()
			}
		case balance.WatchList:
			if l.stopWatch == nil { // else one is open or on its way, and would lose its turn
				l.watch()
			}
		case balance.FetchList:
			l.fetch()
		case balance.Log:
			l.log.Info(a.Text)
		}
	}
}

// setTimer sets one of the module's timers. It need not come back once the request that it is for is over.
func (l *Loop) setTimer(a *balance.Action) {
	r := l.requests[a.Request]
	if r == nil && a.Request != 0 {
		return
	}
	// A hair later: an attempt that times out at the same moment comes first, as the module expects.
	due := time.Now().Add(duration(a.After) + 20*time.Microsecond)
	if r == nil {
		l.timers.set(&timer{due: due, token: a.Token})
		return
	}
	for _, t := range r.timers {
		if t.at < 0 { // it has been handed out
			t.due, t.token = due, a.Token
			l.timers.set(t)
			return
		}
	}
	t := &timer{due: due, token: a.Token}
	r.timers = append(r.timers, t)
	l.timers.set(t)
}

// fire hands out the timers that are due.
func (l *Loop) fire() {
	now := time.Now()
	l.ids.forget(now)
	for t := l.timers.due(now); t != nil; t = l.timers.due(time.Now()) {
		if t.attempt != nil {
			l.attemptEnded(t.attempt, upstream.Outcome{Result: upstream.TimedOut})
		} else {
			l.tell(balance.Timer{Token: t.token})
		}
	}
}
