package core

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/member"
	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
)

// fakeSource delivers the lists and errors that a test sends it.
type fakeSource struct {
	lists       chan member.List
	watchErrors chan error // each ends a watch
}

func (s *fakeSource) Watch(ctx context.Context, _ uint64, onList func(member.List)) error {
	for {
		select {
		case list := <-s.lists:
			onList(list)
		case err := <-s.watchErrors:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *fakeSource) Fetch(ctx context.Context) (member.List, error) { return <-s.lists, ctx.Err() }
func (s *fakeSource) Name() string                                   { return "fake" }

// fakeServers passes each exchange to the test. Only the test ends an exchange, even one that was cancelled.
type fakeServers struct {
	sent        chan *exchange
	unreachable atomic.Bool // connections are never established
}

// exchange is an attempt that was sent; a value on outcome ends it.
type exchange struct {
	ctx     context.Context
	addr    string
	call    *upstream.Call
	outcome chan upstream.Outcome
}

type fakeEndpoint struct {
	servers *fakeServers
	addr    string
}

func (s *fakeServers) NewEndpoint() upstream.Endpoint                    { return &fakeEndpoint{servers: s} }
func (e *fakeEndpoint) CloseIdle()                                       {}
func (e *fakeEndpoint) CheckHealth(context.Context) (o upstream.Outcome) { return o }
func (e *fakeEndpoint) Update(addr string, _ bool)                       { e.addr = addr }
func (e *fakeEndpoint) Send(ctx context.Context, c *upstream.Call) upstream.Outcome {
	if e.servers.unreachable.Load() {
		<-ctx.Done()
	}
	if c.ClientGone() {
		return upstream.Outcome{Result: upstream.NotSent, Err: upstream.ErrClientGone}
	}
	if !c.Claim() {
		return upstream.Outcome{Result: upstream.NotSent}
	}
	x := &exchange{ctx, e.addr, c, make(chan upstream.Outcome)}
	e.servers.sent <- x
	return <-x.outcome
}

// noWarnings is a log output that fails the test on each warning, because the core must never pass an impossible event to the
// module.
type noWarnings struct {
	t       *testing.T
	allowed *atomic.Bool // see testCore.allowWarnings
}

func (w noWarnings) Write(line []byte) (int, error) {
	if !w.allowed.Load() {
		w.t.Errorf("logged: %s", line)
	}
	return len(line), nil
}

// testCore is a core with a fake source and fake servers, in virtual time. Goroutines of the test act as the front.
type testCore struct {
	*Loop
	t             *testing.T
	source        *fakeSource
	servers       *fakeServers
	stop          context.CancelFunc
	stopped       chan struct{}
	allowWarnings atomic.Bool // the test carries out actions that the module did not ask for
}

// pendingRequest is a request that was passed to the core; answer and err are set when done is closed.
type pendingRequest struct {
	answer     front.Answer
	err        error
	done       chan struct{}
	disconnect context.CancelFunc
}

// withCore runs a test in virtual time with a core that knows the servers with these names; change modifies the module's
// configuration.
func withCore(t *testing.T, names []string, test func(core *testCore), change ...func(*balance.Config)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		class := func(e balance.Effect) balance.Class {
			return balance.Class{Effect: e, Window: 500, LatencyTarget: 500, Deadline: 1000, Value: 1}
		}
		core := &testCore{
			t: t, source: &fakeSource{make(chan member.List), make(chan error)}, servers: &fakeServers{sent: make(chan *exchange)},
			stopped: make(chan struct{}),
		}
		module := balance.Config{
			Seed: 1, Classes: []balance.Class{class(balance.Safe), class(balance.Keyed), class(balance.Unsafe)},
			Subscribe: true, Cancel: true, MaxAttempts: 4, DrainGrace: 250,
		}
		for _, f := range change {
			f(&module)
		}
		log := slog.New(slog.NewTextHandler(noWarnings{t, &core.allowWarnings}, &slog.HandlerOptions{Level: slog.LevelWarn}))
		core.Loop = New(Config{Module: module, Known: completeList(1, names...)}, core.source, core.servers, log)
		ctx, stop := context.WithCancel(t.Context())
		core.stop = stop
		go func() { core.Run(ctx); close(core.stopped) }()
		test(core)
		stop()
		<-core.stopped
	})
}

func completeList(generation uint64, names ...string) member.List {
	l := member.List{Generation: generation, Complete: true}
	for _, name := range names {
		l.Instances = append(l.Instances, member.Instance{ID: name, Addr: name, Weight: 1})
	}
	return l
}

// request passes a request to the core in its own goroutine, as a front does.
func (core *testCore) request(trace string, class int) *pendingRequest {
	return core.requestWith(trace, class, message.Request{})
}

func (core *testCore) requestWith(trace string, class int, m message.Request) *pendingRequest {
	ctx, cancel := context.WithCancel(core.t.Context())
	pending := &pendingRequest{done: make(chan struct{}), disconnect: cancel}
	go func() {
		defer close(pending.done)
		pending.answer, pending.err = core.Answer(ctx, front.Request{
			TraceID: trace, Class: class, Tenant: -1, Arrived: time.Now(), Wait: time.Second, Message: m,
		})
	}()
	return pending
}

// expect waits for the answer to a request and checks it.
func (core *testCore) expect(pending *pendingRequest, want front.Verdict, err error) {
	core.t.Helper()
	<-pending.done
	if pending.err != err || err == nil && pending.answer.Verdict != want { //nolint:errorlint // the sentinel itself, not wrapped
		core.t.Errorf("verdict %v, error %v; want %v, %v", pending.answer.Verdict, pending.err, want, err)
	}
}

// expectNoRequests checks that no request is in the table, and the number of reserved ids.
func (core *testCore) expectNoRequests(ids int) {
	core.t.Helper()
	synctest.Wait()
	if s := core.Stats(); s.Requests != 0 || s.IDs != ids {
		core.t.Errorf("%d requests in the table and %d ids reserved, want 0 and %d", s.Requests, s.IDs, ids)
	}
}

func (x *exchange) serve() { x.outcome <- upstream.Outcome{Result: upstream.Served} }
