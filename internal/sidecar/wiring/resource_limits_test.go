package wiring

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/handover"
	"petrelhook/internal/sidecar/lifecycle"
)

// crowdedProcess is a process whose clients and requests open connections whenever its limits allow it.
type crowdedProcess struct {
	resourceLimits
	open   lifecycle.ConnectionShare
	shared bool
}

func newCrowdedProcess(total, open lifecycle.ConnectionShare) *crowdedProcess {
	p := &crowdedProcess{open: open}
	allowed := total
	p.total, p.current = total, total
	p.setConnections = func(share lifecycle.ConnectionShare) { allowed = share }
	p.inUse = func() lifecycle.ConnectionShare {
		counted := p.open
		p.open = lifecycle.ConnectionShare{Clients: max(counted.Clients, allowed.Clients), Servers: max(counted.Servers, allowed.Servers)}
		return counted
	}
	p.setMemoryShared = func(shared bool) { p.shared = shared }
	return p
}

// Guards against connections that are opened while the share of a successor is worked out, and are counted in neither share.
func TestConnectionsOpenedDuringAHandOverAreInAShare(t *testing.T) {
	total := lifecycle.ConnectionShare{Clients: 100, Servers: 40}
	for _, open := range []lifecycle.ConnectionShare{{}, {Clients: 20, Servers: 30}, {Clients: 80, Servers: 3}, total} {
		p := newCrowdedProcess(total, open)
		first := p.shareWithSuccessor()
		if sum := p.open.Clients + first.Clients; sum > total.Clients {
			t.Errorf("%v open: %d connections of clients, of %d", open, sum, total.Clients)
		}
		if sum := p.open.Servers + first.Servers; sum > total.Servers {
			t.Errorf("%v open: %d connections to servers, of %d", open, sum, total.Servers)
		}
		second := p.shareWithSuccessor()
		if sum := p.current.Clients + first.Clients + second.Clients; sum > total.Clients {
			t.Errorf("%v open: three processes have %d connections of clients, of %d", open, sum, total.Clients)
		}
		share := p.current
		p.otherEnded()
		if !p.shared || p.current != share {
			t.Errorf("%v open: %v beside another process, after %v", open, p.current, share)
		}
		p.otherEnded()
		if p.shared || p.current != total {
			t.Errorf("%v open: %v as the only process", open, p.current)
		}
	}
}

// noRendezvous is a rendezvous at which no process can be offered.
type noRendezvous struct{ Rendezvous }

func (noRendezvous) Offer(Offer) (func(), error) { return nil, errors.ErrUnsupported }

// firstAccept reports the first call of Accept.
type firstAccept struct {
	net.Listener
	called func()
}

func (l *firstAccept) Accept() (net.Conn, error) {
	l.called()
	return l.Listener.Accept()
}

// Guards against a successor that accepts clients before it is limited to its share.
func TestASuccessorIsLimitedBeforeItAccepts(t *testing.T) {
	cfg, err := config.Parse("test", []byte(`{"name":"n0","listen":"127.0.0.1:0","discovery":"`+peertest.DeadAddr(t)+`","seed":"1f","settings":`+peertest.Settings+`}`))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	own, other := net.Pipe()
	defer other.Close()
	s := New(&cfg, TCP(), slog.New(slog.DiscardHandler))
	share := lifecycle.ConnectionShare{Clients: 3, Servers: 2}
	limits := make(chan lifecycle.ConnectionShare, 9)
	clients := &firstAccept{listener, func() {
		s.limits.mu.Lock()
		defer s.limits.mu.Unlock()
		limits <- s.limits.current
	}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- s.Run(ctx, clients, nil, &Succession{Rendezvous: noRendezvous{}, Predecessor: handover.NewLink(own), Share: &share})
	}()
	if got := peertest.Wait(t, limits); got != share {
		t.Errorf("it accepts with %v, its share is %v", got, share)
	}
	stop()
	if err := peertest.Wait(t, ended); err != nil {
		t.Error(err)
	}
}
