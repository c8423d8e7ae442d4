// Package platform is the front that the platform's protocol describes: the application's requests over HTTP/1.1, with
// class, tenant and id in headers. It reads a request, hands it to the core, and writes the one answer that comes back.
//
// It decides nothing about a request that makes sense, and answers itself only what does not: an error of the client,
// which reaches no server and ends its connection.
package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
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
	// lingering: after SIGTERM new connections come for up to 0.4 s.
	lingering = 600 * time.Millisecond
	// A client that sends no whole request is owed an error or a close within 3 s of connecting.
	headTime = 2500 * time.Millisecond
	bodyTime = 2700 * time.Millisecond // for head and body
	idleTime = 20 * time.Second
	// lookAgain is how often a sidecar that sends its clients away looks for connections that carry no request.
	lookAgain = 50 * time.Millisecond
	// silentEnough is after what silence one of those is closed while clients are sent away: there is time, and until
	// then its client may have its next request on the way, whose answer ends it.
	silentEnough = 200 * time.Millisecond
	// hurry is how long after that the last of them are closed at any silence: at 4 s none may be left, and a client whose request
	// meets the close sends it to another sidecar.
	hurry = 3700 * time.Millisecond
	// silentAtEnd is the same for a sidecar that ends, whose clients should come again while it still accepts. One that asks
	// more often is not closed between two requests, where the next is likely on its way.
	silentAtEnd = 100 * time.Millisecond
)

// Settings are what the front is told.
type Settings struct {
	Classes []front.Class
	Tenants []string
	Door    admission.Config
	Room    *membudget.Budget // the account of bodies; they share it with answers
}

// Server is the application's side.
type Server struct {
	core     front.Core
	settings Settings
	classes  map[string]int
	http     *http.Server
	clients  *connlimit.Limiter
	longest  time.Duration // the longest deadline
	ending   atomic.Pointer[lifecycle.ShutdownWindow]
	life     *lifecycle.Machine
	after    func(time.Duration) <-chan time.Time // time.After
}

// New makes a server; Serve runs it.
func New(c Settings, core front.Core, life *lifecycle.Machine, log *slog.Logger) *Server {
	s := &Server{core: core, life: life, settings: c, classes: map[string]int{}, after: time.After}
	s.clients = connlimit.New(nil, c.Door, bodyTime)
	s.clients.ReadAheadBudget = c.Room
	for i, class := range c.Classes {
		s.classes[class.Name] = i
		s.longest = max(s.longest, class.Deadline)
	}
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: headTime, IdleTimeout: idleTime,
		MaxHeaderBytes: message.MaxHead, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	return s
}

// Serve serves until the lifecycle ends, then finishes what it has, and returns when all that was taken is answered. While
// clients are sent away it goes on.
func (s *Server) Serve(ln net.Listener) error {
	failed := make(chan error, 1)
	s.clients.Listener = ln
	s.http.ConnState, s.http.ConnContext = s.clients.ConnState, s.clients.ConnContext
	go func() { failed <- s.http.Serve(s.clients) }()
	var late <-chan time.Time
	silent := silentEnough
	for {
		now, over := s.life.Watch()
		if now.State() == lifecycle.Stopping {
			break
		}
		var look <-chan time.Time
		if !now.EvacuationRequested() {
			late, silent = nil, silentEnough
		} else { // until they come back: who was let in late is sent away too
			if late == nil {
				late = s.after(hurry)
			}
			s.clients.CloseIdle(silent)
			if s.clients.Open() == 0 {
				s.life.Apply(lifecycle.EvacuationDone)
			}
			look = time.After(lookAgain)
		}
		select {
		case err := <-failed:
			return fmt.Errorf("serve: %w", err)
		case <-over:
		case <-look:
		case <-late:
			silent = 0
		}
	}
	return s.finish(failed)
}

// finish ends the connections, each when it carries no request, and returns when all have ended. New ones are taken while
// they may come, unless the next process takes them.
func (s *Server) finish(failed <-chan error) error {
	defer s.http.Close()
	end := &lifecycle.ShutdownWindow{Began: time.Now(), AcceptTime: lingering, MaxDeadline: s.longest}
	s.ending.Store(end)
	lingered, last := s.after(lingering), s.after(end.Duration())
	look := time.NewTicker(lookAgain)
	defer look.Stop()
	for accepting := true; ; {
		s.clients.CloseIdle(silentAtEnd)
		if now, _ := s.life.Watch(); accepting && !now.Accepts() {
			accepting = false
			s.clients.Listener.Close()
		}
		if !accepting && failed == nil && s.clients.Open() == 0 { // what was accepted last has its place by then
			return nil
		}
		select {
		case <-lingered:
			accepting, lingered = false, nil
			s.clients.Listener.Close()
		case <-last: // what is left has no whole request, or has its answer and does not take it
			return nil
		case <-look.C:
		case err := <-failed:
			if accepting {
				return fmt.Errorf("serve: %w", err)
			}
			failed = nil
		}
	}
}

// Open is how many connections of clients there are.
func (s *Server) Open() int { return s.clients.Open() }

// SetPlaces bounds the connections of clients anew.
func (s *Server) SetPlaces(n int) { s.clients.SetMaxConnections(n) }

// ServeHTTP answers one request of the application.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	arrived := time.Now()
	http.NewResponseController(w).SetWriteDeadline(arrived.Add(bodyTime + s.longest + stall))
	if req.URL.Path == healthPath {
		if s.leaves(w); !s.life.Status().Healthy() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	in, b, code, err := s.parse(w, req)
	if err != nil {
		reject(w, err.Error(), code)
		return
	}
	in.Arrived = arrived
	if b != nil {
		in.Arrived = time.Now() // its last byte, if it is whole
		defer b.give()
	}
	ctx := req.Context()
	if end := s.ending.Load(); end != nil {
		in.Wait = end.ClampWait(in.Arrived, in.Wait)
	}
	answered := func() {}
	if in.Message.Remainder == nil { // else what it sends is still read by others
		in.ClientGone = func() bool { return s.clients.ClientGone(ctx) }
		answered = s.clients.WatchClient(ctx)
	}
	if in.Message.Remainder != nil {
		var cancel context.CancelCauseFunc
		// net/http ends the request's context with any read that fails: until the body has ended the pump says why.
		ctx, cancel = context.WithCancelCause(context.WithoutCancel(ctx))
		defer cancel(nil)
		defer context.AfterFunc(req.Context(), func() {
			if b.ended.Load() {
				cancel(context.Canceled)
			}
		})()
		b.control.EnableFullDuplex() // else an answer that comes before the body is whole would wait for that
		b.pump(cancel)
		defer b.halt()
	}
	a, err := s.core.Answer(ctx, in)
	answered()
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(stall)) // its body may have come for long
	if b != nil && !b.ended.Load() {                                      // an answer that is passed on may end after the body; else what is left is not read
		w.Header().Set("Connection", "close")
		if gone := context.Cause(ctx); err != nil && gone != nil && status(gone) != 0 {
			reject(w, gone.Error(), status(gone))
			return
		}
	}
	switch {
	case err == nil:
		if !s.leaves(w) && s.clients.ResponseStarted(req.Context()) {
			w.Header().Set("Connection", "close")
		}
		bare := a.Reply.Remainder != nil && a.Reply.Size < 0 && !req.ProtoAtLeast(1, 1) // only the connection's end says where it ends
		s.clients.SetResponseOpen(req.Context(), bare)
		write(w, a)
		s.clients.SetResponseOpen(req.Context(), false)
	case errors.Is(err, front.ErrInUse):
		reject(w, err.Error(), http.StatusConflict)
	case errors.Is(err, front.ErrInvalid):
		reject(w, err.Error(), http.StatusBadRequest)
	case errors.Is(err, front.ErrEnded): // what became of it is not known
		write(w, front.Answer{Verdict: front.Failed})
	default: // the client has gone, or has broken its body off
		panic(http.ErrAbortHandler) // else an empty 200 would be written
	}
}

// leaves has an answer end its connection where clients are sent away, and says whether it does.
func (s *Server) leaves(w http.ResponseWriter) bool {
	if s.life.Status().KeepsConnections() {
		return false
	}
	w.Header().Set("Connection", "close")
	return true
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// pass passes a long answer on as it comes. Where it breaks off the connection ends before what was said to come, so that
// the client can tell.
func pass(w http.ResponseWriter, r *message.Reply) {
	control := http.NewResponseController(w)
	if r.Size >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(r.Size, 10))
	}
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for p, err := r.Body, error(nil); ; {
		control.SetWriteDeadline(time.Now().Add(stall))
		if _, failed := w.Write(p); failed != nil {
			panic(http.ErrAbortHandler)
		}
		if failed := control.Flush(); failed != nil {
			panic(http.ErrAbortHandler)
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		var n int
		n, err = r.Remainder.Read(*buffer)
		p = (*buffer)[:n]
	}
}

// reject answers what cannot be served and ends the connection: what else comes on it is not read, neither the rest of
// a body, which may never come, nor a request, which may be a part of one.
func reject(w http.ResponseWriter, text string, status int) {
	http.NewResponseController(w).SetReadDeadline(time.Now())
	w.Header().Set("Connection", "close")
	http.Error(w, text, status)
}

// deciding are the headers that must not come twice: which one counts would be a guess.
var deciding = []string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In", "X-Second-Try", "X-Size-Hint", "Idempotency-Key"}

// parse reads a request and says what is wrong with it. The method must fit the class: a keyed request without
// its key could not be repeated.
func (s *Server) parse(w http.ResponseWriter, req *http.Request) (in front.Request, b *body, code int, err error) {
	h := req.Header
	bad := func(code int, text string) (front.Request, *body, int, error) {
		return front.Request{}, nil, code, errors.New(text)
	}
	if err := framed(s.clients.RequestHead(req.Context()), req); err != nil {
		return bad(http.StatusBadRequest, err.Error())
	}
	for _, name := range deciding {
		if len(h[name]) > 1 {
			return bad(http.StatusBadRequest, name+" comes twice")
		}
	}
	class, known := s.classes[h.Get("X-Qos")]
	if !known {
		return bad(http.StatusBadRequest, fmt.Sprintf("unknown class %q", h.Get("X-Qos")))
	}
	in.Class, in.TraceID = class, h.Get("X-Trace-Id")
	in.Tenant = slices.Index(s.settings.Tenants, h.Get("X-Customer")) // -1: none
	in.Message.Method, in.Message.Target = req.Method, req.RequestURI
	key, effect := h.Get("Idempotency-Key"), s.settings.Classes[class].Effect
	first, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	switch {
	case req.ContentLength > message.MaxBody:
		return bad(http.StatusRequestEntityTooLarge, errTooLong.Error())
	case effect == front.Safe && req.ContentLength > 0:
		return bad(http.StatusBadRequest, "a GET has no body")
	case in.TraceID == "":
		return bad(http.StatusBadRequest, "no X-Trace-Id")
	case !strings.HasPrefix(in.Message.Target, "/") || first != h.Get("X-Qos"):
		return bad(http.StatusBadRequest, "the path does not fit the class")
	case (effect == front.Safe) != (req.Method == http.MethodGet), effect != front.Safe && req.Method != http.MethodPost,
		(effect == front.Keyed) != (key != ""):
		return bad(http.StatusBadRequest, "method and key do not fit the class")
	}
	in.Wait = s.settings.Classes[class].Deadline
	if text := h.Get("X-Expires-In"); text != "" {
		wait, err := parseWait(text)
		if err != nil {
			return bad(http.StatusBadRequest, err.Error())
		}
		in.Wait = min(in.Wait, wait)
	}
	if text := h.Get("X-Size-Hint"); text != "" {
		if us, err := strconv.ParseFloat(text, 64); err == nil && us > 0 && us < 1e12 {
			in.WorkHint = time.Duration(us * float64(time.Microsecond))
		}
	}
	in.AffinityKey = req.URL.Query().Get("sid")
	in.ClientRetry = h.Get("X-Second-Try") == "1"
	if req.ContentLength != 0 {
		b = newBody(w, req, s.clients.RequestDeadline(req.Context()))
		b.room = s.settings.Room
		err := b.take(req, &in.Message)
		if err == nil && effect == front.Safe && (len(in.Message.Body) > 0 || in.Message.Remainder != nil) {
			err = errors.New("a GET has no body")
		}
		if err != nil {
			b.give()
			return bad(max(status(err), http.StatusBadRequest), err.Error())
		}
	}
	for _, name := range []string{"X-Trace-Id", "Idempotency-Key", "X-Qos", "X-Customer", "Content-Type"} {
		if v := h.Get(name); v != "" {
			in.Message.Header = append(in.Message.Header, [2]string{name, v})
		}
	}
	return in, b, 0, nil
}

// parseWait reads a time such as 480m (milliseconds) or 1500u (microseconds).
func parseWait(text string) (time.Duration, error) {
	digits, unit := strings.TrimRight(text, "mu"), float64(time.Millisecond)
	if digits+"u" == text {
		unit = float64(time.Microsecond)
	} else if digits+"m" != text {
		return 0, fmt.Errorf("X-Expires-In: %q", text)
	}
	v, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(v > 0) || v > 1e9 {
		return 0, fmt.Errorf("X-Expires-In: %q", text)
	}
	return time.Duration(v * unit), nil
}

// write passes the answer on: whole, with its length, or as it comes.
func write(w http.ResponseWriter, a front.Answer) {
	defer a.Reply.Done()
	switch a.Verdict {
	case front.Served:
		for _, name := range []string{"Content-Type", "Content-Encoding"} {
			w.Header()[name] = a.Reply.Header[name] // nil: none, and none is guessed
		}
		if a.Reply.Remainder != nil {
			pass(w, &a.Reply)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Reply.Body)))
		w.Write(a.Reply.Body)
	case front.Refused:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}
