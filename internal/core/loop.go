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
	"errors"
	"log/slog"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/front"
	"petrelhook/internal/member"
	"petrelhook/internal/upstream"
)

// answerMargin is how long before the client's time is up its answer is due: timers and writes take time.
const answerMargin = 4 * time.Millisecond

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

// request is a client's request until it is answered and its last attempt has ended.
type request struct {
	front.Request
	id       balance.RequestID
	effect   balance.Effect
	window   float64 // ms
	deadline time.Time
	answer   chan answer // takes one
	closed   bool
	attempts []*attempt
	out      int
}

type attempt struct {
	r      *request
	number int
	to     *server
	id     balance.ServerID
	sent   time.Time
	call   *upstream.Call
	clean  bool // it is certain that it never ran
	done   bool
	cancel context.CancelFunc
}

// server is one instance of the list, kept while it is listed or attempts need it.
type server struct {
	name string
	end  upstream.Endpoint
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

// accept takes a request in, unless its id is in use or the module cannot take it.
func (l *Loop) accept(r *request) {
	if l.traces[r.Trace] {
		l.reject(r, front.ErrInUse)
		return
	}
	if r.Class < 0 || r.Class >= len(l.config.Module.Classes) {
		l.reject(r, front.ErrInvalid)
		return
	}
	class := &l.config.Module.Classes[r.Class]
	l.lastID++
	r.id, r.effect, r.window = l.lastID, class.Effect, class.Window
	r.deadline = r.Arrived.Add(r.Wait - min(answerMargin, r.Wait/10))
	l.requests[r.id], l.traces[r.Trace] = r, true
	ev := balance.Request{
		ID: r.id, Class: r.Class, Tenant: r.Tenant, WorkHint: millis(r.Hint),
		Remaining: math.Max(millis(time.Until(r.deadline)), 1e-3), Repeat: r.Repeat,
	}
	if r.Subject != "" {
		ev.Key = stableHash(r.Subject)
	}
	if err := l.tell(ev); err != nil {
		l.remove(r)
		l.reject(r, front.ErrInvalid)
	}
}

// finish gives a request its one answer. Later ones are dropped.
func (l *Loop) finish(id balance.RequestID, a front.Answer) {
	if r := l.requests[id]; r != nil && !r.closed {
		r.closed = true
		r.answer <- answer{Answer: a}
		l.removeIfOver(r)
	}
}

// hangUp: the client has gone away.
func (l *Loop) hangUp(r *request) {
	if r.closed {
		return
	}
	r.closed = true
	l.tell(balance.HangUp{Request: r.id})
	l.removeIfOver(r)
}

func (l *Loop) removeIfOver(r *request) {
	if r.closed && r.out == 0 {
		l.remove(r)
	}
}

func (l *Loop) remove(r *request) {
	delete(l.requests, r.id)
	// A copy that comes late must not run either. Ids are never used again, so they are kept no longer than that.
	l.memories.add(timer{due: r.deadline, trace: r.Trace})
}

// send starts an attempt.
func (l *Loop) send(a *balance.Action) {
	r := l.requests[a.Request]
	if r == nil {
		l.log.Error("the module sends for a request that is over", "request", a.Request)
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	c := &upstream.Call{Message: r.Message, Expires: r.deadline}
	at := &attempt{r: r, number: len(r.attempts), id: a.Server, to: l.servers[a.Server], call: c, sent: time.Now(), cancel: cancel}
	if a.At > 0 {
		c.Expires = earlier(c.Expires, l.clock.time(a.At))
	}
	for _, before := range r.attempts { // a keyed request must not go out after its key may be forgotten
		if r.effect == balance.Keyed && !before.clean && !math.IsInf(r.window, 1) {
			c.Begin = earlier(c.Begin, before.sent.Add(duration(r.window)))
		}
	}
	r.attempts = append(r.attempts, at)
	r.out++
	if at.to == nil || r.closed {
		l.later = append(l.later, func() { l.attemptEnded(at, upstream.Outcome{Result: upstream.Moot}) })
		return
	}
	l.timers.add(timer{due: c.Expires, attempt: at})
	go func() {
		out := at.to.end.Send(ctx, c)
		l.post(func() { l.attemptEnded(at, out) })
	}()
}

// results are the module's names for the ends of exchanges.
var results = [...]balance.Result{
	upstream.Served: balance.OK, upstream.Failed: balance.Failed, upstream.TurnedAway: balance.Full,
	upstream.TimedOut: balance.TimedOut, upstream.ConnectFailed: balance.ConnectFailed, upstream.Reset: balance.Reset,
	upstream.Cancelled: balance.Cancelled, upstream.Moot: balance.Moot,
}

// attemptEnded reports the first end of an attempt to the module. Others are dropped.
func (l *Loop) attemptEnded(at *attempt, out upstream.Outcome) {
	if at.done {
		return
	}
	at.done = true
	at.cancel()
	if out.Result == upstream.TimedOut && at.call.Claim() { // its connection never came up
		out = upstream.Outcome{Result: upstream.ConnectFailed, Err: errors.New("no connection in time")}
	}
	r := at.r
	r.out--
	at.clean = out.Result.NeverRan()
	if out.Result == upstream.Served && !r.closed {
		r.closed = true
		r.answer <- answer{Answer: front.Answer{Verdict: front.Served, Reply: out.Reply}}
	}
	took := time.Since(at.sent)
	if out.Result != upstream.Served && out.Result != upstream.Cancelled {
		name := ""
		if at.to != nil {
			name = at.to.name
		}
		l.log.Info("attempt", "trace", r.Trace, "n", at.number, "server", name, "result", out.Result.String(), "took", millis(took), "err", out.Err)
	}
	err := l.tell(balance.Outcome{
		Request: r.id, Attempt: at.number, Server: at.id, Result: results[out.Result], Took: millis(took), Finished: r.closed,
		Report: out.Report,
	})
	if err != nil && r.out == 0 { // the module does not know of it, so nothing more would come
		l.finish(r.id, front.Answer{Verdict: front.Failed})
	}
	l.removeIfOver(r)
}

func (l *Loop) cancelAttempt(a *balance.Action) {
	r := l.requests[a.Request]
	if r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) || r.attempts[a.Attempt].done {
		return
	}
	at := r.attempts[a.Attempt]
	at.call.Claim()
	at.cancel()
	l.later = append(l.later, func() { l.attemptEnded(at, upstream.Outcome{Result: upstream.Cancelled}) })
}

func (l *Loop) probe(id balance.ServerID) {
	s := l.servers[id]
	if s == nil {
		l.later = append(l.later, func() { l.tell(balance.ProbeResult{Server: id, Result: balance.ConnectFailed}) })
		return
	}
	began := time.Now()
	go func() {
		out := s.end.Probe(l.ctx)
		l.post(func() {
			l.tell(balance.ProbeResult{Server: id, Result: results[out.Result], Took: millis(time.Since(began)), Report: out.Report})
		})
	}()
}

// watch opens the standing watch, in place of the one before, of which nothing more is heard.
func (l *Loop) watch() {
	if l.stopWatch != nil {
		l.stopWatch()
	}
	ctx, stop := context.WithCancel(l.ctx)
	l.stopWatch = stop
	after, source := l.generation, l.source
	go func() {
		err := source.Watch(ctx, after, func(c member.List) {
			l.post(func() {
				if ctx.Err() == nil {
					l.called(c, nil)
				}
			})
		})
		l.post(func() {
			if ctx.Err() == nil { // not replaced
				stop()
				l.stopWatch = nil
				l.called(member.List{}, err)
			}
		})
	}()
}

// fetch asks for the whole list once. What it brings counts unless the source was replaced or told something newer.
func (l *Loop) fetch() {
	source := l.source
	go func() {
		c, err := source.Fetch(l.ctx)
		l.post(func() {
			if source == l.source && (err != nil || c.Generation >= l.generation) {
				l.called(c, err)
			}
		})
	}()
}

// called takes in what a call to the source brought.
func (l *Loop) called(c member.List, err error) {
	if err != nil {
		l.log.Info("discovery", "err", err)
		l.tell(balance.ServerList{Kind: balance.ListFailed})
		return
	}
	kind := balance.ListDelta
	if c.Whole {
		kind = balance.ListFull
	}
	l.list(c, kind)
}

// states are the module's names for the states of servers.
var states = [...]balance.State{member.Up: balance.Ready, member.Draining: balance.Draining, member.Removed: balance.Gone}

// list takes in news of the servers.
func (l *Loop) list(c member.List, kind balance.ListKind) {
	l.generation = c.Generation
	listed := map[balance.ServerID]bool{}
	ev := balance.ServerList{Kind: kind}
	for i := range c.Instances {
		in := &c.Instances[i]
		id := balance.ServerID(stableHash(in.ID))
		listed[id] = true
		entry := balance.Server{
			ID: id, State: states[in.State], Rating: in.Weight, Cell: in.Cell,
			Zone: max(0, slices.Index(l.config.Zones, in.Zone)),
			Kind: max(0, slices.Index(l.config.Kinds, in.Kind)),
		}
		if !in.Started.IsZero() {
			entry.StartedAt = l.clock.at(in.Started)
		}
		ev.Servers = append(ev.Servers, entry)
		s := l.servers[id]
		if s == nil && entry.State == balance.Gone {
			continue
		}
		if s == nil {
			s = &server{name: in.ID, end: l.up.Endpoint()}
			l.servers[id] = s
		}
		s.end.Turn(in.Addr, entry.State == balance.Ready)
		if entry.State == balance.Gone { // attempts that are out keep what they need
			delete(l.servers, id)
		}
		if entry.State == balance.Ready {
			l.ready.Store(true)
		}
	}
	if kind != balance.ListDelta { // what the whole list does not name is gone
		for id, s := range l.servers {
			if !listed[id] {
				s.end.Turn("", false)
				delete(l.servers, id)
			}
		}
	}
	l.tell(ev)
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

// timer is one of the module's, or the end of an attempt's time or of that for which a trace is kept.
type timer struct {
	due     time.Time
	token   uint64
	request balance.RequestID // whose it is, 0: nobody's
	attempt *attempt
	trace   string
}

type timerHeap []timer

func (h *timerHeap) add(t timer)       { heap.Push(h, t) }
func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(t any)        { *h = append(*h, t.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}
