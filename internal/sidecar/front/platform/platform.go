// Package platform is the front for clients that speak the platform's protocol: HTTP/1.1, with class, tenant and trace id in headers. It
// reads a request, passes it to the core, and writes the one answer that comes back.
//
// It decides nothing about a valid request. It answers by itself only the health check, and requests that are not valid: those reach no
// server, and their connection is closed after the response.
//
// Invariants: each accepted request is passed to the core once and gets one response; an answer to a client that has gone is not written;
// a response that breaks off ends its connection so that the client can tell. net/http calls ServeHTTP on a goroutine for each connection.
package platform

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"petrelhook/internal/sidecar/admission"
	"petrelhook/internal/sidecar/connlimit"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/lifecycle"
	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
)

const (
	healthPath = "/_health"
	// acceptTimeAfterTerminate is for how long the listener stays open after SIGTERM: new connections come for up to 0.4 s.
	acceptTimeAfterTerminate = 600 * time.Millisecond
	// headTimeout: a client that does not send a complete request gets an error or a close within 3 s of connecting.
	headTimeout = 2500 * time.Millisecond
	// bodyTimeout is the same for head and body together.
	bodyTimeout = 2700 * time.Millisecond
	// idleTimeout is after what time net/http closes a connection without a request.
	idleTimeout = 20 * time.Second
	// idleCheckInterval is how often idle connections are looked for during an evacuation and at shutdown.
	idleCheckInterval = 50 * time.Millisecond
	// evacuationMinIdle is for how long a connection has been idle when it is closed during an evacuation. There is time, and until
	// then its client may have its next request on the way, whose response ends the connection.
	evacuationMinIdle = 200 * time.Millisecond
	// evacuationCloseAllAfter is from when on in an evacuation connections are closed however short they have been idle: at 4 s none may
	// be left, and a client whose request crosses with the close sends it to another sidecar.
	evacuationCloseAllAfter = 3700 * time.Millisecond
	// shutdownMinIdle is the same for a process that ends, whose clients should connect again while it still accepts. A client that
	// sends requests more often than this is not disconnected between two of them, when the next is likely on its way.
	shutdownMinIdle = 100 * time.Millisecond
)

// Settings configure a Server.
type Settings struct {
	Classes      []front.Class
	Tenants      []string
	Admission    admission.Config  // which connections stay open
	MemoryBudget *membudget.Budget // bytes of request bodies in memory; responses spend from the same budget
}

// Server serves the application's connections.
type Server struct {
	core        front.Core
	settings    Settings
	classes     map[string]int // index in Settings.Classes by name
	http        *http.Server
	limiter     *connlimit.Limiter
	maxDeadline time.Duration // of all classes
	shutdown    atomic.Pointer[lifecycle.ShutdownWindow]
	lifecycle   *lifecycle.Machine
	after       func(time.Duration) <-chan time.Time // time.After, replaced by tests
}

// New makes a server; Serve runs it.
func New(settings Settings, core front.Core, machine *lifecycle.Machine, log *slog.Logger) *Server {
	s := &Server{core: core, lifecycle: machine, settings: settings, classes: map[string]int{}, after: time.After}
	s.limiter = connlimit.New(nil, settings.Admission, bodyTimeout)
	s.limiter.ReadAheadBudget = settings.MemoryBudget
	for i, class := range settings.Classes {
		s.classes[class.Name] = i
		s.maxDeadline = max(s.maxDeadline, class.Deadline)
	}
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: message.MaxHead, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	return s
}

// Serve serves the connections of a listener until the process is terminated by its lifecycle, then drains, and returns when all accepted
// requests are answered. During an evacuation it closes idle connections and goes on serving. It is called once. An error means that the
// listener failed.
func (s *Server) Serve(listener net.Listener) error {
	failed := make(chan error, 1)
	s.limiter.Listener = listener
	s.http.ConnState, s.http.ConnContext = s.limiter.ConnState, s.limiter.ConnContext
	go func() { failed <- s.http.Serve(s.limiter) }()
	var closeAll <-chan time.Time
	minIdle := evacuationMinIdle
	for {
		status, changed := s.lifecycle.Watch()
		if status.State() == lifecycle.Stopping {
			return s.drain(failed)
		}
		var nextCheck <-chan time.Time
		if !status.EvacuationRequested() {
			closeAll, minIdle = nil, evacuationMinIdle
		} else { // until clients are wanted again, also for connections that were accepted meanwhile
			if closeAll == nil {
				closeAll = s.after(evacuationCloseAllAfter)
			}
			s.limiter.CloseIdle(minIdle)
			if s.limiter.Open() == 0 {
				s.lifecycle.Apply(lifecycle.EvacuationDone)
			}
			nextCheck = time.After(idleCheckInterval)
		}
		select {
		case err := <-failed:
			return fmt.Errorf("serve: %w", err)
		case <-changed:
		case <-nextCheck:
		case <-closeAll:
			minIdle = 0
		}
	}
}

// drain closes each connection once it carries no request, and returns when all are closed. New connections are accepted for
// acceptTimeAfterTerminate, unless a successor process accepts them.
func (s *Server) drain(failed <-chan error) error {
	defer s.http.Close()
	window := &lifecycle.ShutdownWindow{Began: time.Now(), AcceptTime: acceptTimeAfterTerminate, MaxDeadline: s.maxDeadline}
	s.shutdown.Store(window)
	acceptEnd, windowEnd := s.after(acceptTimeAfterTerminate), s.after(window.Duration())
	check := time.NewTicker(idleCheckInterval)
	defer check.Stop()
	for accepting := true; ; {
		s.limiter.CloseIdle(shutdownMinIdle)
		if status, _ := s.lifecycle.Watch(); accepting && !status.Accepts() {
			accepting = false
			s.limiter.Listener.Close()
		}
		if !accepting && failed == nil && s.limiter.Open() == 0 { // http.Serve has returned: what it accepted last is counted
			return nil
		}
		select {
		case <-acceptEnd:
			accepting, acceptEnd = false, nil
			s.limiter.Listener.Close()
		case <-windowEnd: // what is left has no complete request, or does not read its response
			return nil
		case <-check.C:
		case err := <-failed:
			if accepting {
				return fmt.Errorf("serve: %w", err)
			}
			failed = nil
		}
	}
}

// OpenConnections is the number of clients' connections.
func (s *Server) OpenConnections() int { return s.limiter.Open() }

// SetMaxConnections changes the bound on clients' connections.
func (s *Server) SetMaxConnections(n int) { s.limiter.SetMaxConnections(n) }
