package wiring

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"petrelhook/internal/sidecar/core"
	"petrelhook/internal/sidecar/handover"
	"petrelhook/internal/sidecar/lifecycle"
)

// acknowledgeTimeout is how long a successor waits for the acknowledgement that it serves before it goes on without: the predecessor may
// hang.
const acknowledgeTimeout = 500 * time.Millisecond

// Succession is what a process knows of the hand-overs of its sidecar: the link to its predecessor, and where successors find it.
type Succession struct {
	Rendezvous          Rendezvous
	Predecessor         *handover.Link             // nil: there is none
	EvacuationRequested bool                       // by operators, at the predecessor
	Share               *lifecycle.ConnectionShare // what the predecessor leaves while it lives; nil: everything
}

// HandoverState is what a process hands over to its successor, in JSON. The names are those of the first version.
type HandoverState struct {
	EvacuationRequested bool                      `json:"out"` // operators want no clients here
	Share               lifecycle.ConnectionShare `json:"room"`
	Core                core.Snapshot             `json:"core"`
}

// handoverProgress is how far the hand-overs from and to a process are.
type handoverProgress struct {
	offered       chan struct{} // closed when a successor can take over
	successorLost chan struct{} // a successor has ended
	acknowledged  chan struct{} // closed when the predecessor knows that this process serves
	acknowledge   func()        // closes acknowledged, once
	// evacuationSent is what the last hand-over said of an evacuation.
	evacuationSent atomic.Bool
}

// init makes the channels; NewFrom calls it.
func (p *handoverProgress) init() {
	p.offered, p.successorLost, p.acknowledged = make(chan struct{}), make(chan struct{}, 1), make(chan struct{})
	p.acknowledge = sync.OnceFunc(func() { close(p.acknowledged) })
}

// RequestHandover asks the process in service, if there is one, for its listening socket, which must be that of an address, and for its
// state. Without a predecessor both are nil and so is err; where the hand-over fails err says why, and the sidecar starts without a
// predecessor. The succession is never nil.
func RequestHandover(rendezvous Rendezvous, listen string, timeout time.Duration) (net.Listener, *HandoverState, *Succession, error) {
	succession := &Succession{Rendezvous: rendezvous}
	received, err := rendezvous.Request(timeout)
	if errors.Is(err, handover.ErrNoPredecessor) {
		return nil, nil, succession, nil
	}
	if err != nil {
		return nil, nil, succession, err
	}
	state, err := readState(received, listen)
	if err != nil {
		received.Listener.Close()
		_ = received.Link.Close() // err says why already
		return nil, nil, succession, err
	}
	succession.Predecessor, succession.Share = received.Link, &state.Share
	succession.EvacuationRequested = state.EvacuationRequested
	return received.Listener, state, succession, nil
}

// readState reads the state of a hand-over whose socket must listen at an address.
func readState(received *handover.Handover, listen string) (*HandoverState, error) {
	if addr := received.Listener.Addr().String(); addr != listen {
		return nil, fmt.Errorf("the socket is that of %s", addr)
	}
	state := &HandoverState{}
	if err := json.Unmarshal(received.State, state); err != nil {
		return nil, fmt.Errorf("read the state of the process in service: %w", err)
	}
	if state.Share.Clients < 0 || state.Share.Servers < 0 {
		return nil, errNegativeShare
	}
	return state, nil
}

// Why a hand-over fails that is complete by its form.
var (
	errNegativeShare = errors.New("the share of connections is below 0")
	errCoreEnded     = errors.New("this process has ended")
)

// serveHandovers serves the links to the predecessor and to successors until ctx ends.
func (s *Sidecar) serveHandovers(ctx context.Context, succession *Succession, listener net.Listener) {
	var links sync.WaitGroup
	defer links.Wait()
	if succession.Predecessor != nil {
		s.limitToShare(*succession.Share)
		links.Go(func() { s.followPredecessor(ctx, succession) })
	}
	offered := sync.OnceFunc(func() { close(s.handover.offered) })
	defer offered()
	select { // the predecessor stays at the rendezvous until this process can serve
	case <-s.serverKnown:
	case <-ctx.Done():
		return
	}
	for { // again after a successor that ended, which may have listened at the rendezvous by then
		end, err := succession.Rendezvous.Offer(Offer{
			Listener: listener, State: s.stateForSuccessor, OnSuccessor: s.followSuccessor,
			OnError: func(err error) { s.log.Warn("nothing is handed over", "err", err) },
		})
		if err != nil {
			s.log.Warn("nobody can take over", "err", err)
		} else {
			defer end()
		}
		offered()
		select {
		case <-s.handover.successorLost:
		case <-ctx.Done():
			return
		}
	}
}

// followPredecessor serves the link to the predecessor until that process has ended or ctx ends.
func (s *Sidecar) followPredecessor(ctx context.Context, succession *Succession) {
	link := succession.Predecessor
	defer context.AfterFunc(ctx, func() { _ = link.Close() })()
	(&peer{sidecar: s, link: link, reportedEvacuation: succession.EvacuationRequested}).serve()
	s.restoreLimits()
}

// followSuccessor serves the link to a successor until that process has ended. Then this one has the sidecar to itself again.
func (s *Sidecar) followSuccessor(link *handover.Link) {
	(&peer{sidecar: s, link: link, isSuccessor: true, reportedEvacuation: s.handover.evacuationSent.Load()}).serve()
	s.relay.PeerGone()
	s.restoreLimits()
	if status, _ := s.lifecycle.Apply(lifecycle.SuccessorLost); status.State() != lifecycle.Stopping {
		select {
		case s.handover.successorLost <- struct{}{}:
		default: // a new server is about to be started already
		}
	}
}

// stateForSuccessor returns what a successor gets. From then on this process keeps to its own share of the connections.
func (s *Sidecar) stateForSuccessor() ([]byte, error) {
	state := HandoverState{EvacuationRequested: s.lifecycle.Status().EvacuationRequested()}
	s.handover.evacuationSent.Store(state.EvacuationRequested)
	var encoded []byte
	var err error
	own, next := s.limits.Divide(lifecycle.ConnectionShare{Clients: s.front.OpenConnections(), Servers: s.upstream.Open()})
	state.Share = next
	if !s.core.Snapshot(func(snapshot core.Snapshot) { // on the core's goroutine: the snapshot is not to be kept
		state.Core = snapshot
		encoded, err = json.Marshal(state)
	}) {
		err = errCoreEnded
	}
	if err != nil {
		return nil, err
	}
	s.limitToShare(own)
	return encoded, nil
}

// announceReady makes the process ready. The predecessor is notified first: it must know that it has a successor before it is terminated,
// and whoever sees that this process is ready may terminate it. For the same reason the next hand-over is possible before.
func (s *Sidecar) announceReady(succession *Succession) {
	if succession != nil && succession.Predecessor != nil && succession.Predecessor.Send(lineReady) == nil {
		select {
		case <-s.handover.acknowledged:
		case <-time.After(acknowledgeTimeout):
		}
	}
	if succession != nil {
		<-s.handover.offered
	}
	s.lifecycle.Apply(lifecycle.ServersKnown)
}

// limitToShare bounds the connections and the memory of this process while there are two.
func (s *Sidecar) limitToShare(share lifecycle.ConnectionShare) {
	s.front.SetMaxConnections(max(1, share.Clients))
	s.upstream.SetMaxConnections(max(1, share.Servers))
	if s.OnMemoryShared != nil {
		s.OnMemoryShared(true)
	}
}

// restoreLimits ends limitToShare: this process has the sidecar's limits to itself again.
func (s *Sidecar) restoreLimits() {
	s.front.SetMaxConnections(s.limits.Clients)
	s.upstream.SetMaxConnections(s.limits.Servers)
	if s.OnMemoryShared != nil {
		s.OnMemoryShared(false)
	}
}
