package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"petrelhook/internal/router/settings"
)

// servers are what listens.
type servers struct {
	internal net.Listener
	front    *http.Server
	ready    *http.Server
	control  *http.Server
}

// Bounds on callers before the configuration is known, and above what it may say: clients may take up a connection that has
// rested for four fifths of the configuration's time.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	maxHeader     = 256 << 10
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
}

// Times of an end.
const (
	lingering  = 3200 * time.Millisecond // the platform asks for readiness once a second, and needs two misses
	takesLong  = 0.125                   // of the grace: how long requests are taken that may last beyond it
	endMargin  = 500 * time.Millisecond
	shortGrace = 0.5 // of the grace at the most: lingering, where the grace is short
)

// schedule is when the steps of an end are due.
type schedule struct {
	longUntil time.Time // requests that may last beyond the end are refused from here on
	closed    time.Time // no listener and no idle connection from here on
	by        time.Time // what is open is cut off
}

func newSchedule(began time.Time, grace time.Duration) schedule {
	part := func(of float64) time.Duration { return time.Duration(of * float64(grace)) }
	last := max(part(shortGrace), grace-endMargin)
	return schedule{longUntil: began.Add(part(takesLong)), closed: began.Add(min(lingering, part(shortGrace))), by: began.Add(last)}
}

// end finishes what is there: the platform sends no new connections any more, the lead goes to another replica, and
// what was read is answered.
func (n *Node) end(s *servers, ticker *time.Ticker) {
	n.ending.Store(true)
	plan := newSchedule(time.Now(), settings.Seconds(n.settings.Bounds.GraceS))
	n.gateway.Drain(plan.longUntil, plan.by)
	n.mutex.Lock()
	n.replica.Leave(n.now())
	n.carryOut()
	n.mutex.Unlock()
	for range ticker.C {
		n.tick()
		if !time.Now().Before(plan.closed) {
			break
		}
	}
	for done := s.shutdown(plan.by); ; {
		select {
		case <-ticker.C:
			n.tick()
			continue
		case <-done:
		}
		break
	}
	for _, server := range []*http.Server{s.front, s.ready, s.control} {
		if server != nil {
			server.Close()
		}
	}
	s.internal.Close()
}

// shutdown closes the clients' listener and idle connections, and tells when the others have ended, or their time has: what
// is read by now is answered; the rest is closed unread.
func (s *servers) shutdown(by time.Time) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if s.front == nil {
			return
		}
		ctx, cancel := context.WithDeadline(context.Background(), by)
		defer cancel()
		s.front.Shutdown(ctx)
	}()
	return done
}
