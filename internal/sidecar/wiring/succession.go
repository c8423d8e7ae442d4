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
	Place handover.Place
	From  *handover.Link             // to the process before; nil: there is none
	Out   bool                       // what it said of operators' wishes
	Room  *lifecycle.ConnectionShare // what the process before leaves for as long as it lives; nil: all
}

// Inheritance is what one process hands to the next.
type Inheritance struct {
	Out  bool                      `json:"out"` // operators want no clients here
	Room lifecycle.ConnectionShare `json:"room"`
	Core core.Snapshot             `json:"core"`
}

// The lines of a link. Each side tells the other what operators asked of it.
const (
	lineReady    = "ready" // of the next process: it serves as soon as it is heard
	lineHeard    = "heard" // the answer to it
	lineEvacuate = "evacuate"
	lineRejoin   = "rejoin"
	lineFollows  = "follows" // of the process before: it would go by the next one's watch of discovery
	lineWatch    = "watch "  // of the next process, which watches: a relay.Word in JSON; only to one that follows
)

// heardTime is how long the next process waits to be heard before it serves all the same: the one before may hang.
const heardTime = 500 * time.Millisecond

// Take asks the process in service for its listening socket and all that it hands over, if there is one. Where that fails
// the sidecar starts from nothing; why is told by err, which is nil where nobody was there.
func Take(place handover.Place, listen string, within time.Duration) (ln net.Listener, from *Inheritance, su *Succession, err error) {
	su = &Succession{Place: place}
	ln, state, link, err := place.Take(within)
	if errors.Is(err, handover.ErrNobody) {
		return nil, nil, su, nil
	}
	if err != nil {
		return nil, nil, su, err
	}
	from = &Inheritance{}
	if ln.Addr().String() != listen {
		err = fmt.Errorf("the socket is that of %s", ln.Addr())
	} else if err = json.Unmarshal(state, from); err == nil && (from.Room.Clients < 0 || from.Room.Servers < 0) {
		err = errors.New("the room is below 0")
	}
	if err != nil {
		ln.Close()
		link.Close()
		return nil, nil, su, err
	}
	su.From, su.Room, su.Out = link, &from.Room, from.Out
	return ln, from, su, nil
}

// succeed serves the links to the processes before and after, until ctx ends.
func (s *Sidecar) succeed(ctx context.Context, su *Succession, ln net.Listener) {
	var links sync.WaitGroup
	defer links.Wait()
	if su.From != nil {
		s.share(*su.Room)
		links.Go(func() {
			defer context.AfterFunc(ctx, func() { su.From.Close() })()
			s.keep(su.From, false, su.Out)
			s.unshare()
		})
	}
	offered := sync.OnceFunc(func() { close(s.offered) })
	defer offered()
	file, ok := ln.(interface{ File() (*os.File, error) })
	if !ok {
		return
	}
	select { // the one before has its place until this one can serve
	case <-s.listed:
	case <-ctx.Done():
		return
	}
	for { // again where a next process that died has taken the place with it
		offer := &handover.Offer{
			Give:   func() (*os.File, []byte, error) { return s.give(file.File) },
			Met:    func(l *handover.Link) { s.keep(l, true, s.gave.Load()) },
			Failed: func(err error) { s.log.Warn("nothing is handed over", "err", err) },
		}
		if err := offer.Open(su.Place); err != nil {
			s.log.Warn("nobody can take over", "err", err)
		} else {
			defer offer.Close()
		}
		offered()
		select {
		case <-s.deserted:
		case <-ctx.Done():
			return
		}
	}
}

// give is what the next process gets. From here on this one holds no more than it does, or half.
func (s *Sidecar) give(file func() (*os.File, error)) (*os.File, []byte, error) {
	out := Inheritance{Out: s.life.Status().EvacuationRequested()}
	s.gave.Store(out.Out)
	var state []byte
	var err error
	own, next := s.whole.Divide(lifecycle.ConnectionShare{Clients: s.front.Open(), Servers: s.up.Open()})
	out.Room = next
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
	s.share(own)
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
			now, over := s.life.Watch()
			mu.Lock()
			changed := now.EvacuationRequested() != told && now.State() != lifecycle.Stopping
			told = now.EvacuationRequested()
			mu.Unlock()
			if changed && now.EvacuationRequested() {
				l.Say(lineEvacuate)
			} else if changed {
				l.Say(lineRejoin)
			}
			select {
			case <-ctx.Done():
				return
			case <-over:
			}
		}
	})
	leads := false
	l.Listen(func(line string) {
		if text, is := strings.CutPrefix(line, lineWatch); is {
			var w relay.Update
			if err := json.Unmarshal([]byte(text), &w); next && err == nil {
				s.lists.Receive(w)
			}
			return
		}
		switch line {
		case lineReady:
			if next {
				s.life.Apply(lifecycle.Succeeded)
				l.Say(lineHeard)
				l.Say(lineFollows)
			}
		case lineHeard:
			s.heardOnce()
		case lineFollows:
			if !next && !leads {
				leads = true
				sides.Go(func() { s.lists.Publish(ctx, func(w relay.Update) error { return sayWord(l, w) }) })
			}
		case lineEvacuate, lineRejoin:
			event := map[string]lifecycle.Event{lineEvacuate: lifecycle.Evacuate, lineRejoin: lifecycle.Rejoin}[line]
			mu.Lock()
			told = event == lifecycle.Evacuate
			mu.Unlock()
			s.life.Apply(event)
		}
	})
	end()
	sides.Wait()
	if next {
		s.lists.PeerGone()
		s.unshare()
		if now, _ := s.life.Apply(lifecycle.SuccessorLost); now.State() != lifecycle.Stopping {
			select {
			case s.deserted <- struct{}{}:
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
	return l.Say(lineWatch + string(text))
}

// announce says that this process serves, first to the one before, which must not take it for dead when it is told to end, and
// then to everybody.
func (s *Sidecar) announce(su *Succession) {
	if su != nil && su.From != nil && su.From.Say(lineReady) == nil {
		select {
		case <-s.heard:
		case <-time.After(heardTime):
		}
	}
	if su != nil { // who sees that this one serves may start the next
		<-s.offered
	}
	s.life.Apply(lifecycle.ServersKnown)
}

// share bounds what this process holds while there are two; unshare ends that.
func (s *Sidecar) share(r lifecycle.ConnectionShare) {
	s.front.SetPlaces(max(1, r.Clients))
	s.up.SetMaxConnections(max(1, r.Servers))
	if s.OnShare != nil {
		s.OnShare(true)
	}
}

func (s *Sidecar) unshare() {
	s.front.SetPlaces(s.whole.Clients)
	s.up.SetMaxConnections(s.whole.Servers)
	if s.OnShare != nil {
		s.OnShare(false)
	}
}
