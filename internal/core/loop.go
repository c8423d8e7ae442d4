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
	"container/heap"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/front"
	"petrelhook/internal/member"
	"petrelhook/internal/upstream"
)

// Config is what the core is told.
type Config struct {
	Module       balance.Config
	Zones, Kinds []string    // the names that stand for positions in the module
	Known        member.List // the list of servers as last had; it may be old
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
	ready  atomic.Bool // requests can be served

	// Owned by the loop's goroutine.
	ctx        context.Context
	source     member.Source
	timers     timerHeap
	memories   timerHeap // ends of the time for which traces are kept
	requests   map[balance.RequestID]*request
	traces     map[string]bool // of the requests in the table, and of those whose time is not up yet
	lastID     balance.RequestID
	servers    map[balance.ServerID]*server
	generation uint64
	stopWatch  context.CancelFunc
	later      []func() // outcomes that an action had at once
}

// New makes a loop; Run runs it.
func New(c Config, source member.Source, up upstream.Servers, log *slog.Logger) *Loop {
	return &Loop{
		clock: newClock(), config: c, b: balance.New(c.Module), up: up, source: source, log: log,
		events: make(chan func(), 1024), ended: make(chan struct{}),
		requests: map[balance.RequestID]*request{}, traces: map[string]bool{},
		servers: map[balance.ServerID]*server{},
	}
}

// Run runs the loop until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.ended)
	l.ctx = ctx
	l.generation = l.config.Known.Generation // the first watch, begun by Start, asks for what came after it
	l.carryOut(l.b.Start(l.clock.now()))
	l.list(l.config.Known, balance.ListCached)
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

// forgetEvery is how often traces are forgotten where nothing else happens: an idle sidecar sleeps.
const forgetEvery = time.Second

// idle is how long nothing is due. Timers whose cause is gone are dropped, not woken up for: most attempts end long
// before their time is up, and to wake for each of their timers took a third of an idle process's work.
func (l *Loop) idle() time.Duration {
	wait := time.Hour
	if len(l.memories) > 0 {
		wait = forgetEvery
	}
	for len(l.timers) > 0 && l.stale(&l.timers[0]) {
		heap.Pop(&l.timers)
	}
	if len(l.timers) > 0 {
		wait = min(wait, max(0, time.Until(l.timers[0].due)))
	}
	return wait
}

// stale: nothing would come of a timer.
func (l *Loop) stale(t *timer) bool {
	return t.attempt != nil && t.attempt.done || t.request != 0 && l.requests[t.request] == nil
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
		case balance.Refuse:
			l.finish(a.Request, front.Answer{Verdict: front.Refused, RetryAfter: duration(a.At)})
		case balance.Fail:
			l.finish(a.Request, front.Answer{Verdict: front.Failed})
		case balance.Cancel:
			l.cancelAttempt(a)
		case balance.SetTimer:
			// A hair later: an attempt that times out at the same moment comes first, as the module expects.
			l.timers.add(timer{due: time.Now().Add(duration(a.At) + 20*time.Microsecond), token: a.Token, request: a.Request})
		case balance.Probe:
			l.probe(a.Server)
		case balance.CloseIdle:
			if s := l.servers[a.Server]; s != nil {
				s.end.CloseIdle()
			}
		case balance.Watch:
			if l.stopWatch == nil { // else one is open or on its way, and would lose its turn
				l.watch()
			}
		case balance.Fetch:
			l.fetch()
		case balance.Log:
			l.log.Info(a.Text)
		}
	}
}

// fire hands out the timers that are due.
func (l *Loop) fire() {
	for now := time.Now(); len(l.memories) > 0 && !l.memories[0].due.After(now); {
		delete(l.traces, heap.Pop(&l.memories).(timer).trace)
	}
	for now := time.Now(); len(l.timers) > 0 && !l.timers[0].due.After(now); now = time.Now() {
		switch t := heap.Pop(&l.timers).(timer); {
		case l.stale(&t):
		case t.attempt != nil:
			l.attemptEnded(t.attempt, upstream.Outcome{Result: upstream.TimedOut})
		default:
			l.tell(balance.Timer{Token: t.token})
		}
	}
}
