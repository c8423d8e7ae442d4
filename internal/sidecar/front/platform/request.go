package platform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"petrelhook/internal/sidecar/front"
)

// ServeHTTP answers one request of the application. net/http calls it, one call at a time for each connection.
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
		request.Arrived = time.Now() // the time of its last byte, if the body is complete
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

// serveHealth answers whether clients should come to this process.
func (s *Server) serveHealth(w http.ResponseWriter) {
	if s.endConnectionIfLeaving(w); !s.lifecycle.Status().Healthy() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveBuffered answers a request whose body, if it has any, is in memory. Nobody reads the connection meanwhile, so the limiter may watch
// it for the client's end.
func (s *Server) serveBuffered(w http.ResponseWriter, req *http.Request, request front.Request, b *body) {
	ctx := req.Context()
	request.ClientGone = func() bool { return s.limiter.ClientGone(ctx) }
	stopWatching := s.limiter.WatchClient(ctx)
	answer, err := s.core.Answer(ctx, request)
	stopWatching()
	s.respond(ctx, w, req, b, answer, err)
}

// serveStreamed answers a request whose body is passed on while it comes.
func (s *Server) serveStreamed(w http.ResponseWriter, req *http.Request, request front.Request, b *body) {
	// net/http cancels the request's context at any read that fails. Until the body has ended the pump gives the cause instead.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(req.Context()))
	defer cancel(nil)
	defer context.AfterFunc(req.Context(), func() {
		if b.ended.Load() {
			cancel(context.Canceled)
		}
	})()
	_ = b.control.EnableFullDuplex() // HTTP/1 connections have it; else a response before the end of the body would wait for that end
	b.pump(cancel)
	defer b.halt()
	answer, err := s.core.Answer(ctx, request)
	s.respond(ctx, w, req, b, answer, err)
}

// respond writes what the core answered. b is nil where the request has no body; the cause of ctx says why a streamed body broke off.
func (s *Server) respond(ctx context.Context, w http.ResponseWriter, req *http.Request, b *body, answer front.Answer, err error) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) // the body may have come for long
	if b != nil && !b.ended.Load() {                                             // a relayed response may end after the body; else what is left of the body is not read
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
	case errors.Is(err, front.ErrEnded): // it is unknown whether the request was executed
		writeAnswer(w, front.Answer{Verdict: front.Failed})
	default: // the client has gone, or has broken its body off
		panic(http.ErrAbortHandler) // else net/http would write an empty 200
	}
}

// respondWith writes an answer of the core, and ends the connection with it where clients are to leave or the limiter wants the place.
func (s *Server) respondWith(w http.ResponseWriter, req *http.Request, answer front.Answer) {
	if !s.endConnectionIfLeaving(w) && s.limiter.ResponseStarted(req.Context()) {
		w.Header().Set("Connection", "close")
	}
	// Over HTTP/1.0 only the end of the connection marks the end of a response of unknown length.
	endsWithConnection := answer.Reply.Remainder != nil && answer.Reply.Size < 0 && !req.ProtoAtLeast(1, 1)
	s.limiter.SetResponseOpen(req.Context(), endsWithConnection)
	writeAnswer(w, answer)
	s.limiter.SetResponseOpen(req.Context(), false)
}

// endConnectionIfLeaving has the response end its connection during an evacuation and at shutdown, and reports whether it does.
func (s *Server) endConnectionIfLeaving(w http.ResponseWriter) bool {
	if s.lifecycle.Status().KeepsConnections() {
		return false
	}
	w.Header().Set("Connection", "close")
	return true
}
