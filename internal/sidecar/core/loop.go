// Package core keeps each request from its acceptance until its last attempt has ended. One goroutine, the loop, owns the
// decision module (package balance), the module's timers and the tables of requests and servers, and carries out the module's
// actions. The core makes no decisions itself, and it depends on neither HTTP nor sockets: fronts pass requests to it, sources
// deliver lists of servers, and endpoints carry out exchanges with servers, each through an interface of its own package (front,
// member, upstream).
//
// Invariants: only the loop's goroutine accesses the module and the tables; a request gets one answer, and stays in its table
// until its last attempt has ended; an attempt ends once, and its outcome is passed to the module once; a trace id is not
// accepted again before the deadline of its request has passed.
//
// Answer, ReplaceSource, Snapshot and Stats are safe for concurrent use; all other methods run in the loop's goroutine.
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
	Names                // of the classes, zones and kinds in Module
	Known    member.List // the last known list of servers, which may be out of date
	Previous *Snapshot   // of the previous process; nil if there was none. Its list replaces Known if it is from the same source
	// OnServerAvailable is called once, in the loop, when the first server that accepts requests is known. It may be nil.
	OnServerAvailable func()
}

// Loop owns the decision module, its timers, and the tables of requests and servers. One goroutine runs it; other goroutines post
// functions to it, which the loop's goroutine calls one after another.
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
	serverAvailable bool               // a server that accepts requests has been known
	stopWatch       context.CancelFunc // of the open watch; nil if there is none
	deferred        []func()           // report outcomes that became known while actions were carried out
}

// eventQueueSize is how many posted functions may wait for the loop before post blocks.
const eventQueueSize = 1024

// New returns a loop that takes lists from source and sends exchanges through endpoints. Nothing happens before Run.
func New(c Config, source member.Source, endpoints upstream.Servers, log *slog.Logger) *Loop {
	return &Loop{
		clock: newClock(), config: c, balancer: balance.New(c.Module), endpoints: endpoints, source: source, log: log,
		events: make(chan func(), eventQueueSize), ended: make(chan struct{}),
		requests: map[balance.RequestID]*request{}, ids: newIDs(), servers: map[balance.ServerID]*server{},
		instances: map[string]member.Instance{},
	}
}

// Run runs the loop until ctx ends, and is called once. The contexts of watches and attempts are derived from ctx, so that they
// end with it. Requests that have no answer by then get front.ErrCoreEnded.
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

// start applies the last known list and the snapshot of the previous process. It opens the first watch if the module does not ask
// for one.
func (l *Loop) start() {
	previous := l.config.Previous
	if previous != nil && previous.Source == l.source.Name() {
		l.config.Known = previous.List
	}
	l.cursor = member.Cursor{Zones: l.config.Zones, Kinds: l.config.Kinds}
	l.config.Known.Complete = true
	if err := l.cursor.Accept(l.config.Known); err != nil {
		l.log.Warn("ignoring the last known list of servers", "err", err)
		l.config.Known = member.List{}
	}
	l.carryOut(l.balancer.Start(l.clock.nowMillis())) // the first watch requests the changes since the known list
	l.applyList(l.config.Known, balance.ListCached)
	if previous != nil {
		l.restore(previous)
		l.config.Previous = nil
	}
	if !l.config.Module.Subscribe { // lists are pushed: the module does not ask for a watch
		l.watch()
	}
}

// idReleaseInterval is how often ids are released while nothing else happens. It is longer than batchInterval so that an idle
// sidecar wakes rarely.
const idReleaseInterval = time.Second

// untilNextTimer returns how long the loop may sleep if no function is posted.
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

// post queues f to run in the loop, and drops it if the loop has ended. It blocks while the queue is full.
func (l *Loop) post(f func()) {
	select {
	case l.events <- f:
	case <-l.ended:
	}
}

// handle passes an event to the module and carries out the resulting actions. An error means that the module considers the event
// impossible and has ignored it.
func (l *Loop) handle(event balance.Event) error {
	actions, err := l.balancer.Handle(l.clock.nowMillis(), event)
	if err != nil {
		l.log.Warn("the decision module rejected an event", "err", err)
		return err
	}
	l.carryOut(actions)
	for len(l.deferred) > 0 { // after carryOut, because the actions are valid only until the next event
		f := l.deferred[0]
		l.deferred = l.deferred[1:]
		f()
	}
	return nil
}

// notify passes an event to the module like handle, for callers that do nothing else if the module rejects it.
func (l *Loop) notify(event balance.Event) { _ = l.handle(event) }

// carryOut carries out actions of the module, in their order. If an attempt or a health check ends meanwhile, its outcome is
// deferred until all actions are carried out.
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
			if l.stopWatch == nil { // an open watch, or one that is being opened, need not start again
				l.watch()
			}
		case balance.FetchList:
			l.fetch()
		case balance.Log:
			l.log.Info(a.Text)
		}
	}
}

// timerDelay is added to the module's timers, because the module expects that an attempt that times out at the same moment is
// reported first.
const timerDelay = 20 * time.Microsecond

// setTimer sets a timer of the module, unless it is for a request that is no longer in the table.
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
		if t.index < 0 { // it has fired and can be reused
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
