// Package core keeps each request from its acceptance until its last attempt has ended. One goroutine, the loop, owns the decision
// module, the module's timers and the tables of requests and servers, and carries out what the module decides. The core decides nothing
// itself, and it knows neither HTTP nor sockets: fronts pass requests to it, sources deliver lists of servers, and the servers' side
// carries out exchanges, each through an interface of its own package (front, member, upstream).
//
// Invariants: only the loop's goroutine reaches the module and the tables; a request gets one answer, and stays in its table until its
// last attempt has ended; an attempt has one end, which the module is given once; a trace id is not accepted again before the deadline
// of the request that had it has passed.
//
// Answer, Replace, Snapshot and Stats are safe for concurrent use; all other methods run in the loop.
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

// Config is the configuration of a Loop.
type Config struct {
	Module   balance.Config
	Names                // of the positions in Module
	Known    member.List // the last known list of servers, which may be out of date
	Previous *Snapshot   // of the previous process; nil: there was none. Its list replaces Known if it is of the same source
	// OnServerAvailable is called once, in the loop, when the first server that accepts requests is known; may be nil.
	OnServerAvailable func()
}

// Loop owns the decision module, its timers, and the tables of requests and servers. One goroutine runs it; others
// post functions to it, which run there one after another.
type Loop struct {
	clock     clock
	config    Config
	balancer  *balance.Balancer
	endpoints upstream.Servers
	log       *slog.Logger
	events    chan func()
	ended     chan struct{}

	// Owned by the loop's goroutine.
	ctx             context.Context
	source          member.Source
	timers          timers
	requests        map[balance.RequestID]*request
	ids             ids
	lastID          balance.RequestID
	servers         map[balance.ServerID]*server
	instances       map[string]member.Instance // the current list, by instance id
	cursor          member.Cursor
	serverAvailable bool // a server that accepts requests has been known
	stopWatch       context.CancelFunc
	deferred        []func() // outcomes that were known while actions were carried out
}

// eventQueueSize is how many functions may wait for the loop before those who post them wait.
const eventQueueSize = 1024

// New returns a loop for a source of lists and the servers' side; Run runs it.
func New(c Config, source member.Source, endpoints upstream.Servers, log *slog.Logger) *Loop {
	return &Loop{
		clock: newClock(), config: c, balancer: balance.New(c.Module), endpoints: endpoints, source: source, log: log,
		events: make(chan func(), eventQueueSize), ended: make(chan struct{}),
		requests: map[balance.RequestID]*request{}, ids: newIDs(), servers: map[balance.ServerID]*server{},
		instances: map[string]member.Instance{},
	}
}

// Run runs the loop until ctx ends, and is called once. The contexts of watches and attempts are ctx's, so that they end with it; requests
// that have no answer then get front.ErrEnded.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.ended)
	l.ctx = ctx
	l.start()
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
		l.fireTimers()
		tick.Reset(l.untilNextTimer())
	}
}

// start applies the last known list and the previous process's snapshot, and opens the first watch where the module does not.
func (l *Loop) start() {
	previous := l.config.Previous
	if previous != nil && previous.Source == l.source.Name() {
		l.config.Known = previous.List
	}
	l.cursor = member.Cursor{Zones: l.config.Zones, Kinds: l.config.Kinds}
	l.config.Known.Complete = true
	if err := l.cursor.Accept(l.config.Known); err != nil {
		l.log.Warn("the list last known is not taken", "err", err)
		l.config.Known = member.List{}
	}
	l.carryOut(l.balancer.Start(l.clock.nowMillis())) // the first watch requests what follows the known list
	l.applyList(l.config.Known, balance.ListCached)
	if previous != nil {
		l.restore(previous)
		l.config.Previous = nil
	}
	if !l.config.Module.Subscribe { // lists are pushed: the module does not ask for a watch
		l.watch()
	}
}

// idReleaseInterval is how often ids are released while nothing else happens, so that an idle sidecar sleeps.
const idReleaseInterval = time.Second

// untilNextTimer returns how long the loop may sleep if nothing is posted.
func (l *Loop) untilNextTimer() time.Duration {
	wait := time.Hour
	if !l.ids.nextExpiry.IsZero() {
		wait = idReleaseInterval
	}
	if len(l.timers) > 0 {
		wait = min(wait, max(0, time.Until(l.timers[0].deadline)))
	}
	return wait
}

// post has f run in the loop; after the loop's end f is dropped. It waits while the queue is full.
func (l *Loop) post(f func()) {
	select {
	case l.events <- f:
	case <-l.ended:
	}
}

// handle passes an event to the module and carries out its actions. An error means that the event is impossible for the module: it has
// ignored it.
func (l *Loop) handle(event balance.Event) error {
	actions, err := l.balancer.Handle(l.clock.nowMillis(), event)
	if err != nil {
		l.log.Warn("the module refuses an event", "err", err)
		return err
	}
	l.carryOut(actions)
	for len(l.deferred) > 0 { // only now: the actions are valid until the next event
		f := l.deferred[0]
		l.deferred = l.deferred[1:]
		f()
	}
	return nil
}

// notify passes an event to the module. That the module rejected it is logged, and changes nothing for the caller.
func (l *Loop) notify(event balance.Event) { _ = l.handle(event) }

// carryOut carries out actions of the module, in their order. An attempt that ends at once is reported to the module after all of them.
func (l *Loop) carryOut(actions []balance.Action) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case balance.Send:
			l.send(a)
		case balance.Reject:
			l.finish(a.Request, front.Answer{Verdict: front.Refused, RetryAfter: toDuration(a.After)})
		case balance.Fail:
			l.finish(a.Request, front.Answer{Verdict: front.Failed})
		case balance.Cancel:
			l.cancelAttempt(a)
		case balance.SetTimer:
			l.setTimer(a)
		case balance.Probe:
			l.checkHealth(a.Server)
		case balance.CloseIdle:
			if s := l.servers[a.Server]; s != nil {
				s.endpoint.CloseIdle()
			}
		case balance.WatchList:
			if l.stopWatch == nil { // otherwise a watch is open or being opened, and would have to start again
				l.watch()
			}
		case balance.FetchList:
			l.fetch()
		case balance.Log:
			l.log.Info(a.Text)
		}
	}
}

// timerDelay is added to the module's timers: an attempt that times out at the same moment comes first, as the module expects.
const timerDelay = 20 * time.Microsecond

// setTimer sets a timer of the module. A timer for a request that is over is not set.
func (l *Loop) setTimer(a *balance.Action) {
	r := l.requests[a.Request]
	if r == nil && a.Request != 0 {
		return
	}
	deadline := time.Now().Add(toDuration(a.After) + timerDelay)
	if r == nil {
		l.timers.add(&timer{deadline: deadline, token: a.Token})
		return
	}
	for _, t := range r.timers {
		if t.index < 0 { // it has fired and can be used again
			t.deadline, t.token = deadline, a.Token
			l.timers.add(t)
			return
		}
	}
	t := &timer{deadline: deadline, token: a.Token}
	r.timers = append(r.timers, t)
	l.timers.add(t)
}

// fireTimers handles the timers whose deadline has passed.
func (l *Loop) fireTimers() {
	now := time.Now()
	l.ids.releaseExpired(now)
	for t := l.timers.popExpired(now); t != nil; t = l.timers.popExpired(time.Now()) {
		if t.attempt != nil {
			l.attemptEnded(t.attempt, upstream.Outcome{Result: upstream.TimedOut})
		} else {
			l.notify(balance.Timer{Token: t.token})
		}
	}
}
