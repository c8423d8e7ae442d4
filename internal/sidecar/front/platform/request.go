package platform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"petrelhook/internal/sidecar/front"
)

// ServeHTTP answers one request. net/http calls it, one call at a time for each connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	arrived := time.Now()
	http.NewResponseController(w).SetWriteDeadline(arrived.Add(bodyTimeout + s.maxDeadline + writeTimeout))
	if req.URL.Path == healthPath {
		s.serveHealth(w)
		return
	}
	request, b, err := s.parse(w, req)
	if err != nil {
		reject(w, err.reason, err.status)
		return
	}
	request.Arrived = arrived
	if b != nil {
		request.Arrived = time.Now() // for a buffered body, the time at which its last byte was read
		defer b.release()
	}
	if window := s.shutdown.Load(); window != nil {
		request.Wait = window.ClampWait(request.Arrived, request.Wait)
	}
	if request.Message.Remainder == nil {
		s.serveBuffered(w, req, request, b)
	} else {
		s.serveStreamed(w, req, request, b)
	}
}

// serveHealth answers a health check: 200 if clients should connect to this process, otherwise 503.
func (s *Server) serveHealth(w http.ResponseWriter) {
	if s.endConnectionIfLeaving(w); !s.lifecycle.Status().Healthy() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveBuffered answers a request whose body, if it has one, is in memory. No other goroutine reads the connection meanwhile, so
// the limiter may watch it for the client's disconnect.
func (s *Server) serveBuffered(w http.ResponseWriter, req *http.Request, request front.Request, b *body) {
	ctx := req.Context()
	request.ClientGone = func() bool { return s.limiter.ClientGone(ctx) }
	stopWatching := s.limiter.WatchClient(ctx)
	answer, err := s.core.Answer(ctx, request)
	stopWatching()
	s.respond(ctx, w, req, b, answer, err)
}

// serveStreamed answers a request whose body is forwarded while it arrives.
func (s *Server) serveStreamed(w http.ResponseWriter, req *http.Request, request front.Request, b *body) {
	// net/http cancels the request's context when any read fails. Until the body has ended the pump cancels with the cause
	// instead.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(req.Context()))
	defer cancel(nil)
	defer context.AfterFunc(req.Context(), func() {
		if b.ended.Load() {
			cancel(context.Canceled)
		}
	})()
	// Without full duplex, a response that starts before the end of the body would wait for that end. HTTP/1 connections support
	// it.
	_ = b.control.EnableFullDuplex()
	b.pump(cancel)
	defer b.halt()
	answer, err := s.core.Answer(ctx, request)
	s.respond(ctx, w, req, b, answer, err)
}

// respond writes the core's answer or error. b is nil if the request has no body. The cause of ctx is the reason why a streamed
// body was cut short.
func (s *Server) respond(ctx context.Context, w http.ResponseWriter, req *http.Request, b *body, answer front.Answer, err error) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) // a long body may have used up the earlier deadline
	// The connection cannot be reused if the rest of the body stays unread. It is also closed if the body may still be read to
	// its end while the response is relayed.
	if b != nil && !b.ended.Load() {
		w.Header().Set("Connection", "close")
		if cause := context.Cause(ctx); err != nil && cause != nil && statusOfBodyError(cause) != 0 {
			reject(w, cause, statusOfBodyError(cause))
			return
		}
	}
	switch {
	case err == nil:
		s.respondWith(w, req, answer)
	case errors.Is(err, front.ErrInUse):
		reject(w, err, http.StatusConflict)
	case errors.Is(err, front.ErrInvalid):
		reject(w, err, http.StatusBadRequest)
	case errors.Is(err, front.ErrCoreEnded): // it is unknown whether the request was executed
		writeAnswer(w, front.Answer{Verdict: front.Failed})
	default: // the client has disconnected or has cut its body short
		panic(http.ErrAbortHandler) // otherwise net/http would write an empty 200
	}
}

// respondWith writes an answer of the core. The response closes its connection during an evacuation, at shutdown, and where the
// limiter does not expect the connection to be used again.
func (s *Server) respondWith(w http.ResponseWriter, req *http.Request, answer front.Answer) {
	if !s.endConnectionIfLeaving(w) && s.limiter.ResponseStarted(req.Context()) {
		w.Header().Set("Connection", "close")
	}
	// In HTTP/1.0 only the end of the connection marks the end of a response of unknown length.
	endsWithConnection := answer.Reply.Remainder != nil && answer.Reply.Size < 0 && !req.ProtoAtLeast(1, 1)
	s.limiter.SetResponseOpen(req.Context(), endsWithConnection)
	writeAnswer(w, answer)
	s.limiter.SetResponseOpen(req.Context(), false)
}

// endConnectionIfLeaving makes the response close its connection during an evacuation and at shutdown, and reports whether it
// does.
func (s *Server) endConnectionIfLeaving(w http.ResponseWriter) bool {
	if s.lifecycle.Status().KeepsConnections() {
		return false
	}
	w.Header().Set("Connection", "close")
	return true
}
