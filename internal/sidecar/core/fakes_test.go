package core

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/member"
	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
)

// fakeSource tells what a test has it tell.
type fakeSource struct {
	lists chan member.List
	ends  chan error // of watches
}

func (s *fakeSource) Watch(ctx context.Context, _ uint64, tell func(member.List)) error {
	for {
		select {
		case l := <-s.lists:
			tell(l)
		case err := <-s.ends:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *fakeSource) Fetch(ctx context.Context) (member.List, error) { return <-s.lists, ctx.Err() }
func (s *fakeSource) Name() string                                   { return "fake" }

// fakeServers hands each exchange to the test, which ends it, whether or not it was given up meanwhile.
type fakeServers struct {
	sent   chan *exchange
	cutOff atomic.Bool // connections never come up
}

type exchange struct {
	ctx  context.Context
	addr string
	call *upstream.Call
	end  chan upstream.Outcome
}

type fakeEndpoint struct {
	s    *fakeServers
	addr string
}

func (s *fakeServers) NewEndpoint() upstream.Endpoint                    { return &fakeEndpoint{s: s} }
func (e *fakeEndpoint) CloseIdle()                                       {}
func (e *fakeEndpoint) CheckHealth(context.Context) (o upstream.Outcome) { return o }
func (e *fakeEndpoint) Update(addr string, _ bool)                       { e.addr = addr }
func (e *fakeEndpoint) Send(ctx context.Context, c *upstream.Call) upstream.Outcome {
	if e.s.cutOff.Load() {
		<-ctx.Done()
	}
	if c.ClientGone() {
		return upstream.Outcome{Result: upstream.NotSent, Err: upstream.ErrClientGone}
	}
	if !c.Claim() {
		return upstream.Outcome{Result: upstream.NotSent}
	}
	x := &exchange{ctx, e.addr, c, make(chan upstream.Outcome)}
	e.s.sent <- x
	return <-x.end
}

// noWarnings is a log on which a warning is a failure: the core never tells the module what can't be.
type noWarnings struct {
	t   *testing.T
	off *atomic.Bool // the test itself puts words in the module's mouth
}

func (w noWarnings) Write(line []byte) (int, error) {
	if !w.off.Load() {
		w.t.Errorf("logged: %s", line)
	}
	return len(line), nil
}

// rig is a core with its fakes, in virtual time; the test's own goroutines are the front.
type rig struct {
	*Loop
	t       *testing.T
	source  *fakeSource
	servers *fakeServers
	end     context.CancelFunc
	ended   chan struct{}
	forged  atomic.Bool // the test carries out actions that the module did not ask for
}

// asked is one request that a fake front has handed in.
type asked struct {
	answer front.Answer
	err    error
	done   chan struct{}
	hangUp context.CancelFunc
}

// in runs a test in virtual time with a core that knows these servers.
func in(t *testing.T, names []string, test func(r *rig), change ...func(*balance.Config)) {
	synctest.Test(t, func(t *testing.T) {
		class := func(e balance.Effect) balance.Class {
			return balance.Class{Effect: e, Window: 500, LatencyTarget: 500, Deadline: 1000, Value: 1}
		}
		r := &rig{
			t: t, source: &fakeSource{make(chan member.List), make(chan error)}, servers: &fakeServers{sent: make(chan *exchange)}, ended: make(chan struct{}),
		}
		module := balance.Config{
			Seed: 1, Classes: []balance.Class{class(balance.Safe), class(balance.Keyed), class(balance.Unsafe)},
			Subscribe: true, Cancel: true, MaxAttempts: 4, DrainGrace: 250,
		}
		for _, f := range change {
			f(&module)
		}
		log := slog.New(slog.NewTextHandler(noWarnings{t, &r.forged}, &slog.HandlerOptions{Level: slog.LevelWarn}))
		r.Loop = New(Config{Module: module, Known: list(1, true, names...)}, r.source, r.servers, log)
		ctx, end := context.WithCancel(t.Context())
		r.end = end
		go func() { r.Run(ctx); close(r.ended) }()
		test(r)
		end()
		<-r.ended
	})
}

func list(generation uint64, whole bool, names ...string) member.List {
	l := member.List{Generation: generation, Complete: whole}
	for _, name := range names {
		l.Instances = append(l.Instances, member.Instance{ID: name, Addr: name, Weight: 1})
	}
	return l
}

// ask hands a request in, as a front does.
func (r *rig) ask(trace string, class int) *asked { return r.askWith(trace, class, message.Request{}) }

func (r *rig) askWith(trace string, class int, m message.Request) *asked {
	ctx, cancel := context.WithCancel(r.t.Context())
	a := &asked{done: make(chan struct{}), hangUp: cancel}
	go func() {
		defer close(a.done)
		a.answer, a.err = r.Answer(ctx, front.Request{
			TraceID: trace, Class: class, Tenant: -1, Arrived: time.Now(), Wait: time.Second, Message: m,
		})
	}()
	return a
}

// is checks the one answer to a request.
func (r *rig) is(a *asked, want front.Verdict, err error) {
	r.t.Helper()
	<-a.done
	if a.err != err || err == nil && a.answer.Verdict != want {
		r.t.Errorf("verdict %v, error %v; want %v, %v", a.answer.Verdict, a.err, want, err)
	}
}

// empty checks that nothing of any request is left; with forgotten, nor of their ids.
func (r *rig) empty(ids int) {
	r.t.Helper()
	synctest.Wait()
	if s := r.Stats(); s.Requests != 0 || s.IDs != ids {
		r.t.Errorf("%d requests and %d ids are held, want 0 and %d", s.Requests, s.IDs, ids)
	}
}

func (x *exchange) serve() { x.end <- upstream.Outcome{Result: upstream.Served} }
