package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"petrelhook/internal/settings"
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
	lingering = 3200 * time.Millisecond // the platform asks for readiness once a second, and needs two misses
	endMargin = 600 * time.Millisecond
)

// end finishes what is there: the platform sends no new connections any more, the lead goes to another replica, and
// what was read is answered.
func (n *Node) end(s *servers, ticker *time.Ticker) {
	n.ending.Store(true)
	n.gateway.End()
	n.mutex.Lock()
	n.replica.Resign(n.now())
	n.carryOut()
	n.mutex.Unlock()
	began := time.Now()
	last := settings.Seconds(n.settings.Bounds.GraceS) - endMargin
	for range ticker.C {
		n.tick()
		passed := time.Since(began)
		if passed > last || passed > min(lingering, last/2) && n.gateway.Active() == 0 {
			break
		}
	}
	if s.front != nil { // what is read by now is answered; the rest is closed unread
		ctx, cancel := context.WithDeadline(context.Background(), began.Add(last))
		s.front.Shutdown(ctx)
		cancel()
	}
	for _, server := range []*http.Server{s.front, s.ready, s.control} {
		if server != nil {
			server.Close()
		}
	}
	s.internal.Close()
}
