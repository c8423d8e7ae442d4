package deployment

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/internal/sidecar/counts"
)

// Played is an agent in this process, of one sidecar that changes at once and serves 50 requests a second: thousands fit into a test.
type Played struct {
	Name, Addr string

	ln            net.Listener
	mu            sync.Mutex
	fence         rollout.Fence
	report        rollout.Report
	starts        uint64
	began         time.Time
	looks, orders int
}

// Play starts one that runs a release.
func Play(name, release string) (*Played, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Played{Name: name, Addr: ln.Addr().String(), ln: ln, report: rollout.Report{Sidecar: name, Release: release, Ready: true}, began: time.Now()}
	mux := http.NewServeMux()
	rpc.Handle(mux, machine.PathStatus, 1<<20, p.look)
	rpc.Handle(mux, machine.PathOrder, 1<<20, p.order)
	go func() { _ = http.Serve(ln, mux) }()
	return p, nil
}

// Close ends it.
func (p *Played) Close() { p.ln.Close() }

func (p *Played) look(_ context.Context, in *machine.StatusRequest) (*machine.Status, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.looks++
	if in.Token != 0 {
		if err := p.fence.ObserveToken(in.Token); err != nil {
			return nil, connect.NewError(connect.CodeAborted, err)
		}
	}
	c := counts.Class{Name: "look", Served: uint64(time.Since(p.began) / (20 * time.Millisecond))}
	c.Latency[10] = c.Served
	text, err := json.Marshal([]counts.Class{c})
	return &machine.Status{Sidecars: []machine.SidecarStatus{{Report: p.report, Process: agent.Process{PID: 1, StartTicks: p.starts, Release: p.report.Release}, Counts: text}}}, err
}

func (p *Played) order(_ context.Context, in *machine.Order) (*machine.OrderResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, err := p.fence.Admit(in.Token, in.Order)
	if err != nil {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	if !known {
		p.orders++
		p.report.CompletedOrder = in.Order.Number
		p.start(in.Order.Release)
	}
	return &machine.OrderResponse{Known: known}, nil
}

func (p *Played) start(release string) {
	p.report.Release, p.began = release, time.Now()
	p.starts++
}

// Fall has the sidecar run a release without an order.
func (p *Played) Fall(release string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start(release)
}

// Report returns the report of its sidecar.
func (p *Played) Report() rollout.Report { p.mu.Lock(); defer p.mu.Unlock(); return p.report }

// Looks returns how often its status was asked for.
func (p *Played) Looks() int { p.mu.Lock(); defer p.mu.Unlock(); return p.looks }

// Orders returns how many orders it has carried out.
func (p *Played) Orders() int { p.mu.Lock(); defer p.mu.Unlock(); return p.orders }
