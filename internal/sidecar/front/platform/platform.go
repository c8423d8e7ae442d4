// Package platform is the front for clients that speak the platform's protocol: HTTP/1.1, with class, tenant and trace id in headers. It
// reads a request, passes it to the core, and writes the one answer that comes back.
//
// It makes no decision about a valid request. It answers only the health check and invalid requests itself: an invalid request
// reaches no server, and its connection is closed after the response.
//
// Invariants: each accepted request is passed to the core once and gets one response; an answer to a client that has disconnected
// is not written; a response that is cut short closes its connection, so that the client can detect the truncation. net/http
// calls ServeHTTP on one goroutine for each connection.
package platform

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/sidecar/admission"
	"petrelhook/internal/sidecar/connlimit"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/lifecycle"
	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
)

const (
	healthPath = "/_health"
	// acceptTimeAfterTerminate is how long the listener stays open after SIGTERM: new connections arrive for up to 0.4 s.
	acceptTimeAfterTerminate = 600 * time.Millisecond
	// headTimeout bounds the time to read a request's head: a client that does not send a complete request must get an error
	// response or a closed connection within 3 s of connecting.
	headTimeout = 2500 * time.Millisecond
	// bodyTimeout bounds the time to read head and body together, for the same reason.
	bodyTimeout = 2700 * time.Millisecond
	// idleTimeout is how long net/http keeps a connection open without a request.
	idleTimeout = 20 * time.Second
	// idleCheckInterval is the interval between scans for idle connections during an evacuation and at shutdown.
	idleCheckInterval = 50 * time.Millisecond
	// evacuationMinIdle is how long a connection must have been idle before an evacuation closes it. An evacuation is not urgent,
	// and a connection that was idle for less may have its client's next request in transit; the response to that request ends
	// the connection.
	evacuationMinIdle = 200 * time.Millisecond
	// evacuationCloseAllAfter is how long after the start of an evacuation connections are closed regardless of their idle time:
	// none may be left after 4 s, and a client whose request crosses with the close sends it to another sidecar.
	evacuationCloseAllAfter = 3700 * time.Millisecond
	// shutdownMinIdle is how long a connection must have been idle before a shutdown closes it. It is shorter than
	// evacuationMinIdle because clients should reconnect while this process still accepts connections. A client that sends
	// requests more often than this is not disconnected between two of them, when its next request is likely in transit.
	shutdownMinIdle = 100 * time.Millisecond
)

// Settings configure a Server.
type Settings struct {
	Classes      []front.Class
	Tenants      []string
	Admission    admission.Config  // which connections stay open
	SendBuffers  *sock.SendBuffers // for long responses; nil: none are needed
	MemoryBudget *membudget.Budget // bytes of request bodies in memory; responses are charged to the same budget
}

// Server serves the connections of the application's clients.
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

// New returns a server; Serve runs it.
func New(settings Settings, core front.Core, machine *lifecycle.Machine, log *slog.Logger) *Server {
	s := &Server{core: core, lifecycle: machine, settings: settings, classes: map[string]int{}, after: time.After}
	s.limiter = connlimit.New(nil, settings.Admission, bodyTimeout)
	s.limiter.ReadAheadBudget, s.limiter.SendBuffers = settings.MemoryBudget, settings.SendBuffers
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

// Serve accepts and serves connections until the lifecycle is in the state Stopping. It then drains, and returns when all
// accepted requests are answered or the shutdown window has passed. During an evacuation it closes idle connections and goes on
// serving. It is called once. An error means that the listener failed.
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
		} else { // repeated until a rejoin: it covers connections that were accepted meanwhile
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

// drain closes each connection once it carries no request. It returns when all are closed, or at the end of the shutdown window.
// New connections are accepted for acceptTimeAfterTerminate, unless a successor process accepts them.
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
		if !accepting && failed == nil && s.limiter.Open() == 0 { // http.Serve has returned, so Open counts the last accepted connection
			return nil
		}
		select {
		case <-acceptEnd:
			accepting, acceptEnd = false, nil
			s.limiter.Listener.Close()
		case <-windowEnd: // the remaining clients have sent no complete request or do not read their responses
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

// OpenConnections returns the number of open client connections.
func (s *Server) OpenConnections() int { return s.limiter.Open() }

// SetMaxConnections changes the limit on open client connections.
func (s *Server) SetMaxConnections(n int) { s.limiter.SetMaxConnections(n) }
