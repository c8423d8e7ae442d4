package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/coordination/monotonic"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/internal/sidecar/counts"
)

// agents are hollow agents of one process. Each listens, and answers a driver's looks and orders as an agent does
// that is in charge of one sidecar; the sidecar says yes at once, and serves some requests a second. There is no
// process, no disk and no settings.
type agents struct {
	application string
	all         []*hollowAgent
	at          map[string]*hollowAgent // by where it listens
	server      *http.Server
	serving     sync.WaitGroup
	in, out     atomic.Uint64 // bytes
	open        atomic.Int64

	mu      sync.Mutex
	changed chan struct{} // closed when an agent has been looked at or has carried an order out
}

// hollowAgent is one, owned by agents.mu.
type hollowAgent struct {
	member
	addr   string
	fence  rollout.Fence
	report rollout.Report
	starts uint64
	began  time.Time
	since  int64 // when it began to run what it runs
	looks  uint64
	calls  uint64
}

// joinAgents returns when each listens.
func joinAgents(j *join) (_ *agents, err error) {
	a := &agents{application: j.Application, at: map[string]*hollowAgent{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	rpc.Handle(mux, machine.PathStatus, maxAgentCall, a.look)
	rpc.Handle(mux, machine.PathOrder, maxAgentCall, a.order)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second,
		IdleTimeout: time.Minute}
	defer func() {
		if err != nil {
			a.close()
		}
	}()
	for i := range j.Members.Count {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		h := &hollowAgent{member: drawMember(j.Seed, j.Members.First+i), addr: ln.Addr().String(), began: time.Now()}
		h.report = rollout.Report{Sidecar: h.Name, Release: j.Release, Ready: true}
		a.all = append(a.all, h)
		a.at[h.addr] = h
		a.serving.Go(func() { _ = a.server.Serve(&countedListener{ln, a}) })
	}
	return a, nil
}

// maxAgentCall is the bound that an agent has for a call.
const maxAgentCall = 64 << 10

func (a *agents) close() {
	a.server.Close()
	a.serving.Wait()
}

// hears finds who was called, and checks a call as an agent does. The caller holds mu.
func (a *agents) hears(ctx context.Context, version int, application string) (*hollowAgent, error) {
	addr, _ := ctx.Value(http.LocalAddrContextKey).(net.Addr)
	h := a.at[fmt.Sprint(addr)]
	switch {
	case h == nil:
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no agent is at %v", addr))
	case version != machine.Version:
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("version %d; this agent speaks %d", version, machine.Version))
	case application != a.application:
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("application %q; this agent is of %q", application, a.application))
	}
	h.calls++
	return h, nil
}

func (a *agents) look(ctx context.Context, in *machine.StatusRequest) (*machine.Status, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, err := a.hears(ctx, in.Version, in.Application)
	if err != nil {
		return nil, err
	}
	if in.Token != 0 {
		if err := h.fence.ObserveToken(in.Token); err != nil {
			return nil, connect.NewError(connect.CodeAborted, err)
		}
	}
	h.looks++
	a.wake()
	text, err := json.Marshal(h.counts())
	return &machine.Status{Sidecars: []machine.SidecarStatus{{
		Report: h.report, Zone: h.Zone, Phase: agent.Idle.String(), Confirmed: h.report.Release,
		Process: agent.Process{PID: 100_000, StartTicks: 1_000_000 + h.starts, Release: h.report.Release, AdminAddress: h.addr},
		Counts:  text, CPUTicks: uint64(time.Since(h.began) / (100 * time.Millisecond)), ResidentBytes: 24 << 20,
	}}}, err
}

// counts are those of a sidecar that serves 50 requests a second of three classes, in a sixth of the steps of time.
func (h *hollowAgent) counts() (all []counts.Class) {
	served := uint64(time.Since(h.began) / (20 * time.Millisecond))
	for i, name := range classes {
		c := counts.Class{Name: name}
		for step := 8 + 4*i; step < 18+4*i; step++ {
			c.Latency[step] = served / 30
			c.Served += c.Latency[step]
		}
		all = append(all, c)
	}
	return all
}

// classes are the names of a sidecar's.
var classes = []string{"look", "book", "void"}

func (a *agents) order(ctx context.Context, in *machine.Order) (*machine.OrderResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, err := a.hears(ctx, in.Version, in.Application)
	if err != nil {
		return nil, err
	}
	if in.Order.Sidecar != h.Name {
		return nil, connect.NewError(connect.CodeNotFound,
			fmt.Errorf("there is no sidecar %q on this machine", in.Order.Sidecar))
	}
	known, err := h.fence.Admit(in.Token, in.Order)
	if err != nil {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	if !known {
		h.report.CompletedOrder, h.report.Release = in.Order.Number, in.Order.Release
		h.starts++
		h.began, h.since = time.Now(), int64(monotonic.Now())
		a.wake()
	}
	return &machine.OrderResponse{Known: known}, nil
}

// wake tells who waits. The caller holds mu.
func (a *agents) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *agents) sample() (*sample, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := &sample{At: int64(monotonic.Now())}
	t := traffic{In: a.out.Load(), Out: a.in.Load(), Open: int(a.open.Load())}
	for i, h := range a.all {
		t.MessagesIn += h.calls // each was answered
		if t.MessagesOut += h.calls; i == 0 || h.looks < n.Least {
			n.Least = h.looks
		}
	}
	n.Of = map[string]traffic{driverEnd: t}
	return n, nil
}

// await waits until something holds of all agents, and gives since when each runs what it runs.
func (a *agents) await(ctx context.Context, w *await) (since []int64, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for next := 0; next < len(a.all); { // those before hold: looks only grow, and nobody changes twice meanwhile
		if h := a.all[next]; h.looks >= w.Calls && (w.Release == "" || h.report.Release == w.Release) {
			next++
			continue
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			err = ctx.Err()
		}
		a.mu.Lock()
		if err != nil {
			return nil, errors.Join(fmt.Errorf("%d of %d", next, len(a.all)), err)
		}
	}
	if w.Release != "" {
		for _, h := range a.all {
			since = append(since, h.since)
		}
	}
	return since, nil
}

func (a *agents) agents() (all []string) {
	for _, h := range a.all {
		all = append(all, h.addr)
	}
	return all
}

// countedListener gives connections whose bytes are counted.
type countedListener struct {
	net.Listener
	a *agents
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.a.open.Add(1)
	return &countedConn{Conn: c, read: &l.a.in, written: &l.a.out, open: &l.a.open}, nil
}
