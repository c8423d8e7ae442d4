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

// SimulatedAgent is an agent in this process, of one sidecar that carries out orders at once and serves 50 requests a second. A test
// may have thousands.
type SimulatedAgent struct {
	Name, Addr string

	listener      net.Listener
	mu            sync.Mutex
	fence         rollout.Fence
	report        rollout.Report
	starts        uint64
	began         time.Time
	polls, orders int
}

// StartSimulatedAgent starts an agent whose sidecar runs a release.
func StartSimulatedAgent(name, release string) (*SimulatedAgent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &SimulatedAgent{Name: name, Addr: ln.Addr().String(), listener: ln, report: rollout.Report{Sidecar: name, Release: release, Ready: true}, began: time.Now()}
	mux := http.NewServeMux()
	rpc.Handle(mux, machine.PathStatus, 1<<20, p.status)
	rpc.Handle(mux, machine.PathOrder, 1<<20, p.order)
	go func() { _ = http.Serve(ln, mux) }()
	return p, nil
}

// Close ends its listener.
func (p *SimulatedAgent) Close() { p.listener.Close() }

// status serves machine.PathStatus.
func (p *SimulatedAgent) status(_ context.Context, in *machine.StatusRequest) (*machine.Status, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.polls++
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

// order serves machine.PathOrder.
func (p *SimulatedAgent) order(_ context.Context, in *machine.Order) (*machine.OrderResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, err := p.fence.Admit(in.Token, in.Order)
	if err != nil {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	if !known {
		p.orders++
		p.report.CompletedOrder = in.Order.Number
		p.runRelease(in.Order.Release)
	}
	return &machine.OrderResponse{Known: known}, nil
}

// runRelease starts the sidecar with a release. The caller holds mu.
func (p *SimulatedAgent) runRelease(release string) {
	p.report.Release, p.began = release, time.Now()
	p.starts++
}

// SwitchRelease has the sidecar run another release without an order.
func (p *SimulatedAgent) SwitchRelease(release string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runRelease(release)
}

// Report returns the report of its sidecar.
func (p *SimulatedAgent) Report() rollout.Report { p.mu.Lock(); defer p.mu.Unlock(); return p.report }

// Polls returns the number of requests for its status.
func (p *SimulatedAgent) Polls() int { p.mu.Lock(); defer p.mu.Unlock(); return p.polls }

// Orders returns the number of orders that it has carried out.
func (p *SimulatedAgent) Orders() int { p.mu.Lock(); defer p.mu.Unlock(); return p.orders }
