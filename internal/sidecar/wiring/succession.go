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

// acknowledgeTimeout is how long a successor waits for lineAcknowledged. After that it continues without an acknowledgement, because the
// predecessor may hang.
const acknowledgeTimeout = 500 * time.Millisecond

// Succession is what a process needs for the hand-overs of its sidecar: the link to its predecessor, and the rendezvous for its successors.
type Succession struct {
	Rendezvous          Rendezvous
	Predecessor         *handover.Link             // nil: there is none
	EvacuationRequested bool                       // whether operators had requested it from the predecessor
	Share               *lifecycle.ConnectionShare // the connections that this process may open while the predecessor runs; nil: all
}

// HandoverState is the state that a process hands over to its successor, in JSON. The names in JSON are those of the first version.
type HandoverState struct {
	EvacuationRequested bool                      `json:"out"` // whether operators have requested it
	Share               lifecycle.ConnectionShare `json:"room"`
	Core                core.Snapshot             `json:"core"`
}

// handoverProgress is the progress of the hand-overs from and to a process.
type handoverProgress struct {
	offered       chan struct{} // closed when a successor can take over
	successorLost chan struct{} // receives when a successor has ended
	acknowledged  chan struct{} // closed when the predecessor knows that this process serves
	acknowledge   func()        // closes acknowledged, once
	// evacuationSent is the EvacuationRequested of the last state that was handed over.
	evacuationSent atomic.Bool
}

// init makes the channels; NewFrom calls it.
func (p *handoverProgress) init() {
	p.offered, p.successorLost, p.acknowledged = make(chan struct{}), make(chan struct{}, 1), make(chan struct{})
	p.acknowledge = sync.OnceFunc(func() { close(p.acknowledged) })
}

// RequestHandover asks the process in service, if there is one, for its listening socket and its state. The socket must listen at the
// address listen. Without a predecessor the listener, the state and the error are nil. Where the hand-over fails, the error says why, the
// listener and the state are nil, and the sidecar starts without a predecessor. The succession is never nil.
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
		_ = received.Link.Close() // err already says why the hand-over fails
		return nil, nil, succession, err
	}
	succession.Predecessor, succession.Share = received.Link, &state.Share
	succession.EvacuationRequested = state.EvacuationRequested
	return received.Listener, state, succession, nil
}

// readState decodes and checks the state of a hand-over, whose socket must listen at the address listen.
func readState(received *handover.Handover, listen string) (*HandoverState, error) {
	if addr := received.Listener.Addr().String(); addr != listen {
		return nil, fmt.Errorf("the received socket listens at %s", addr)
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

// Reasons why a hand-over fails although its messages are well formed.
var (
	errNegativeShare = errors.New("the share of connections is negative")
	errCoreEnded     = errors.New("the core of this process has ended")
)

// serveHandovers serves the links to the predecessor and to successors until ctx ends.
func (s *Sidecar) serveHandovers(ctx context.Context, succession *Succession, listener net.Listener) {
	var links sync.WaitGroup
	defer links.Wait()
	if succession.Predecessor != nil {
		links.Go(func() { s.followPredecessor(ctx, succession) })
	}
	offered := sync.OnceFunc(func() { close(s.handover.offered) })
	defer offered()
	select { // the predecessor stays at the rendezvous until this process can serve
	case <-s.serverKnown:
	case <-ctx.Done():
		return
	}
	for { // offers again after a successor has ended, because it may have replaced this process at the rendezvous
		end, err := succession.Rendezvous.Offer(Offer{
			Listener: listener, State: s.stateForSuccessor, OnSuccessor: s.followSuccessor,
			OnNotSent: s.limits.otherEnded,
			OnError:   func(err error) { s.log.Warn("hand-over to a successor failed", "err", err) },
		})
		if err != nil {
			s.log.Warn("cannot listen for successors", "err", err)
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
	s.limits.otherEnded()
}

// followSuccessor serves the link to a successor until that process has ended. Then this process is the only one of the sidecar again.
func (s *Sidecar) followSuccessor(link *handover.Link) {
	(&peer{sidecar: s, link: link, isSuccessor: true, reportedEvacuation: s.handover.evacuationSent.Load()}).serve()
	s.relay.PeerGone()
	s.limits.otherEnded()
	if status, _ := s.lifecycle.Apply(lifecycle.SuccessorLost); status.State() != lifecycle.Stopping {
		select {
		case s.handover.successorLost <- struct{}{}:
		default: // serveHandovers is already about to offer again
		}
	}
}

// stateForSuccessor returns the encoded state for a successor, and limits this process to its own share of the connections. After an error
// it has its previous share.
func (s *Sidecar) stateForSuccessor() ([]byte, error) {
	state := HandoverState{EvacuationRequested: s.lifecycle.Status().EvacuationRequested()}
	s.handover.evacuationSent.Store(state.EvacuationRequested)
	var encoded []byte
	var err error
	state.Share = s.limits.shareWithSuccessor()
	if !s.core.Snapshot(func(snapshot core.Snapshot) { // runs on the core's goroutine; the snapshot must not be kept
		state.Core = snapshot
		encoded, err = json.Marshal(state)
	}) {
		err = errCoreEnded
	}
	if err != nil {
		s.limits.otherEnded()
		return nil, err
	}
	return encoded, nil
}

// announceReady makes the process ready. It first notifies the predecessor and waits for the acknowledgement: once this process is ready,
// the predecessor may be terminated at any time, and it must know by then that it has a successor. For the same reason announceReady
// waits until this process can itself hand over to a successor.
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
