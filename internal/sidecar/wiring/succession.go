package wiring

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"petrelhook/internal/sidecar/core"
	"petrelhook/internal/sidecar/handover"
	"petrelhook/internal/sidecar/lifecycle"
	"petrelhook/internal/sidecar/member/relay"
)

// Succession is a sidecar's place among its processes: the one before, and the next, which comes to the place.
type Succession struct {
	Rendezvous          handover.Rendezvous
	Predecessor         *handover.Link             // to the process before; nil: there is none
	EvacuationRequested bool                       // what it said of operators' wishes
	Share               *lifecycle.ConnectionShare // what the process before leaves for as long as it lives; nil: all
}

// HandoverState is what one process hands to the next.
type HandoverState struct {
	EvacuationRequested bool                      `json:"out"` // operators want no clients here
	Share               lifecycle.ConnectionShare `json:"room"`
	Core                core.Snapshot             `json:"core"`
}

// The lines of a link. Each side tells the other what operators asked of it.
const (
	lineReady        = "ready" // of the next process: it serves as soon as it is heard
	lineAcknowledged = "heard" // the answer to it
	lineEvacuate     = "evacuate"
	lineRejoin       = "rejoin"
	lineFollows      = "follows" // of the process before: it would go by the next one's watch of discovery
	lineWatch        = "watch "  // of the next process, which watches: a relay.Word in JSON; only to one that follows
)

// acknowledgeTimeout is how long the next process waits to be heard before it serves all the same: the one before may hang.
const acknowledgeTimeout = 500 * time.Millisecond

// RequestHandover asks the process in service for its listening socket and all that it hands over, if there is one. Where that fails
// the sidecar starts from nothing; why is told by err, which is nil where nobody was there.
func RequestHandover(place handover.Rendezvous, listen string, within time.Duration) (ln net.Listener, from *HandoverState, su *Succession, err error) {
	su = &Succession{Rendezvous: place}
	ln, state, link, err := place.Request(within)
	if errors.Is(err, handover.ErrNoPredecessor) {
		return nil, nil, su, nil
	}
	if err != nil {
		return nil, nil, su, err
	}
	from = &HandoverState{}
	if ln.Addr().String() != listen {
		err = fmt.Errorf("the socket is that of %s", ln.Addr())
	} else if err = json.Unmarshal(state, from); err == nil && (from.Share.Clients < 0 || from.Share.Servers < 0) {
		err = errors.New("the room is below 0")
	}
	if err != nil {
		ln.Close()
		link.Close()
		return nil, nil, su, err
	}
	su.Predecessor, su.Share, su.EvacuationRequested = link, &from.Share, from.EvacuationRequested
	return ln, from, su, nil
}

// serveHandovers serves the links to the processes before and after, until ctx ends.
func (s *Sidecar) serveHandovers(ctx context.Context, su *Succession, ln net.Listener) {
	var links sync.WaitGroup
	defer links.Wait()
	if su.Predecessor != nil {
		s.limitToShare(*su.Share)
		links.Go(func() {
			defer context.AfterFunc(ctx, func() { su.Predecessor.Close() })()
			s.keep(su.Predecessor, false, su.EvacuationRequested)
			s.restoreLimits()
		})
	}
	offered := sync.OnceFunc(func() { close(s.handoverOffered) })
	defer offered()
	file, ok := ln.(interface{ File() (*os.File, error) })
	if !ok {
		return
	}
	select { // the one before has its place until this one can serve
	case <-s.serverKnown:
	case <-ctx.Done():
		return
	}
	for { // again where a next process that died has taken the place with it
		offer := &handover.Server{
			Snapshot:    func() (*os.File, []byte, error) { return s.snapshotForSuccessor(file.File) },
			OnSuccessor: func(l *handover.Link) { s.keep(l, true, s.evacuationHandedOver.Load()) },
			OnError:     func(err error) { s.log.Warn("nothing is handed over", "err", err) },
		}
		if err := offer.Start(su.Rendezvous); err != nil {
			s.log.Warn("nobody can take over", "err", err)
		} else {
			defer offer.Close()
		}
		offered()
		select {
		case <-s.successorLost:
		case <-ctx.Done():
			return
		}
	}
}

// snapshotForSuccessor is what the next process gets. From here on this one holds no more than it does, or half.
func (s *Sidecar) snapshotForSuccessor(file func() (*os.File, error)) (*os.File, []byte, error) {
	out := HandoverState{EvacuationRequested: s.lifecycle.Status().EvacuationRequested()}
	s.evacuationHandedOver.Store(out.EvacuationRequested)
	var state []byte
	var err error
	own, next := s.limits.Divide(lifecycle.ConnectionShare{Clients: s.front.OpenConnections(), Servers: s.upstream.Open()})
	out.Share = next
	if !s.core.Snapshot(func(l core.Snapshot) {
		out.Core = l
		state, err = json.Marshal(out)
	}) {
		err = errors.New("this process has ended")
	}
	if err != nil {
		return nil, nil, err
	}
	socket, err := file()
	if err != nil {
		return nil, nil, err
	}
	s.limitToShare(own)
	return socket, state, nil
}

// keep follows a link until the other process has ended. Calls of operators to one hold for both; told is what the other
// holds, as far as is known.
func (s *Sidecar) keep(l *handover.Link, next, told bool) {
	var mu sync.Mutex
	ctx, end := context.WithCancel(context.Background())
	var sides sync.WaitGroup
	sides.Go(func() {
		for {
			now, over := s.lifecycle.Watch()
			mu.Lock()
			changed := now.EvacuationRequested() != told && now.State() != lifecycle.Stopping
			told = now.EvacuationRequested()
			mu.Unlock()
			if changed && now.EvacuationRequested() {
				l.Send(lineEvacuate)
			} else if changed {
				l.Send(lineRejoin)
			}
			select {
			case <-ctx.Done():
				return
			case <-over:
			}
		}
	})
	leads := false
	l.ReadLines(func(line string) {
		if text, is := strings.CutPrefix(line, lineWatch); is {
			var w relay.Update
			if err := json.Unmarshal([]byte(text), &w); next && err == nil {
				s.relay.Receive(w)
			}
			return
		}
		switch line {
		case lineReady:
			if next {
				s.lifecycle.Apply(lifecycle.Succeeded)
				l.Send(lineAcknowledged)
				l.Send(lineFollows)
			}
		case lineAcknowledged:
			s.acknowledge()
		case lineFollows:
			if !next && !leads {
				leads = true
				sides.Go(func() { s.relay.Publish(ctx, func(w relay.Update) error { return sayWord(l, w) }) })
			}
		case lineEvacuate, lineRejoin:
			event := map[string]lifecycle.Event{lineEvacuate: lifecycle.Evacuate, lineRejoin: lifecycle.Rejoin}[line]
			mu.Lock()
			told = event == lifecycle.Evacuate
			mu.Unlock()
			s.lifecycle.Apply(event)
		}
	})
	end()
	sides.Wait()
	if next {
		s.relay.PeerGone()
		s.restoreLimits()
		if now, _ := s.lifecycle.Apply(lifecycle.SuccessorLost); now.State() != lifecycle.Stopping {
			select {
			case s.successorLost <- struct{}{}:
			default: // the place is about to be taken already
			}
		}
	}
}

// sayWord tells the process before what this one's watch is told.
func sayWord(l *handover.Link, w relay.Update) error {
	text, err := json.Marshal(w)
	if err != nil {
		return err
	}
	return l.Send(lineWatch + string(text))
}

// announceReady says that this process serves, first to the one before, which must not take it for dead when it is told to end, and
// then to everybody.
func (s *Sidecar) announceReady(su *Succession) {
	if su != nil && su.Predecessor != nil && su.Predecessor.Send(lineReady) == nil {
		select {
		case <-s.acknowledged:
		case <-time.After(acknowledgeTimeout):
		}
	}
	if su != nil { // who sees that this one serves may start the next
		<-s.handoverOffered
	}
	s.lifecycle.Apply(lifecycle.ServersKnown)
}

// limitToShare bounds what this process holds while there are two; unshare ends that.
func (s *Sidecar) limitToShare(r lifecycle.ConnectionShare) {
	s.front.SetMaxConnections(max(1, r.Clients))
	s.upstream.SetMaxConnections(max(1, r.Servers))
	if s.OnMemoryShared != nil {
		s.OnMemoryShared(true)
	}
}

func (s *Sidecar) restoreLimits() {
	s.front.SetMaxConnections(s.limits.Clients)
	s.upstream.SetMaxConnections(s.limits.Servers)
	if s.OnMemoryShared != nil {
		s.OnMemoryShared(false)
	}
}
