package platform

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/message"
)

// rejection is the reason why a request is not valid, with the HTTP status of the response.
type rejection struct {
	status int
	reason error
}

func badRequest(reason error) *rejection { return &rejection{http.StatusBadRequest, reason} }

// The reasons why a request is not valid: its class, method, path, idempotency key and body must be consistent with each other.
var (
	errSafeWithBody  = errors.New("a GET has no body")
	errNoTraceID     = errors.New("no X-Trace-Id")
	errPathOfClass   = errors.New("the path does not fit the class")
	errMethodOfClass = errors.New("method and key do not fit the class")
)

// headerError reports a header field with an invalid value.
type headerError struct{ name, value string }

func (e *headerError) Error() string { return fmt.Sprintf("%s: %q", e.name, e.value) }

// singleHeaders are the headers that a request must not repeat, because the choice between two values would be arbitrary.
var singleHeaders = []string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In", "X-Second-Try", "X-Size-Hint", "Idempotency-Key"}

// forwardedHeaders are the client's headers that are forwarded to servers.
var forwardedHeaders = []string{"X-Trace-Id", "Idempotency-Key", "X-Qos", "X-Customer", "Content-Type"}

// parse reads a request. The body is nil if the request has none; otherwise the caller must release it. If the request is not
// valid, err is the reason, and there is nothing to release.
func (s *Server) parse(w http.ResponseWriter, req *http.Request) (request front.Request, b *body, err *rejection) {
	if err := s.checkHead(req); err != nil {
		return front.Request{}, nil, badRequest(err)
	}
	header := req.Header
	class, known := s.classes[header.Get("X-Qos")]
	if !known {
		return front.Request{}, nil, badRequest(fmt.Errorf("unknown class %q", header.Get("X-Qos")))
	}
	effect := s.settings.Classes[class].Effect
	if err := checkClass(req, effect); err != nil {
		return front.Request{}, nil, err
	}
	request.Class, request.TraceID = class, header.Get("X-Trace-Id")
	request.Tenant = slices.Index(s.settings.Tenants, header.Get("X-Customer")) // -1: none
	request.Message.Method, request.Message.Target = req.Method, req.RequestURI
	request.Wait = s.settings.Classes[class].Deadline
	if text := header.Get("X-Expires-In"); text != "" {
		wait, err := parseExpiresIn(text)
		if err != nil {
			return front.Request{}, nil, badRequest(err)
		}
		request.Wait = min(request.Wait, wait)
	}
	request.WorkHint = parseSizeHint(header.Get("X-Size-Hint"))
	request.AffinityKey = req.URL.Query().Get("sid")
	request.ClientRetry = header.Get("X-Second-Try") == "1"
	if req.ContentLength != 0 {
		if b, err = s.readBody(w, req, effect, &request.Message); err != nil {
			return front.Request{}, nil, err
		}
	}
	for _, name := range forwardedHeaders {
		if value := header.Get(name); value != "" {
			request.Message.Header = append(request.Message.Header, [2]string{name, value})
		}
	}
	return request, b, nil
}

// checkHead returns an error if the head of a request is ambiguous.
func (s *Server) checkHead(req *http.Request) error {
	if err := checkFraming(s.limiter.RequestHead(req.Context()), req); err != nil {
		return err
	}
	for _, name := range singleHeaders {
		if len(req.Header[name]) > 1 {
			return fmt.Errorf("%s comes twice", name)
		}
	}
	return nil
}

// checkClass rejects a request that is inconsistent with the effect of its class: a keyed request without its key, for instance,
// could not be retried.
func checkClass(req *http.Request, effect front.Effect) *rejection {
	key := req.Header.Get("Idempotency-Key")
	firstSegment, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	switch {
	case req.ContentLength > message.MaxBody:
		return &rejection{http.StatusRequestEntityTooLarge, errTooLong}
	case effect == front.Safe && req.ContentLength > 0:
		return badRequest(errSafeWithBody)
	case req.Header.Get("X-Trace-Id") == "":
		return badRequest(errNoTraceID)
	case !strings.HasPrefix(req.RequestURI, "/") || firstSegment != req.Header.Get("X-Qos"):
		return badRequest(errPathOfClass)
	case (effect == front.Safe) != (req.Method == http.MethodGet), effect != front.Safe && req.Method != http.MethodPost,
		(effect == front.Keyed) != (key != ""):
		return badRequest(errMethodOfClass)
	}
	return nil
}

// readBody reads a body into a message. A short body is read completely; for a long one the message gets an upload that the
// caller pumps.
func (s *Server) readBody(w http.ResponseWriter, req *http.Request, effect front.Effect, into *message.Request) (*body, *rejection) {
	b := newBody(w, req, s.limiter.RequestDeadline(req.Context()))
	b.budget = s.settings.MemoryBudget
	err := b.readInto(req, into)
	if err == nil && effect == front.Safe && (len(into.Body) > 0 || into.Remainder != nil) {
		err = errSafeWithBody
	}
	if err != nil {
		b.release()
		return nil, &rejection{max(statusOfBodyError(err), http.StatusBadRequest), err}
	}
	return b, nil
}

// parseExpiresIn reads a duration such as 480m (milliseconds) or 1500u (microseconds).
func parseExpiresIn(text string) (time.Duration, error) {
	digits, unit := strings.TrimRight(text, "mu"), float64(time.Millisecond)
	if digits+"u" == text {
		unit = float64(time.Microsecond)
	} else if digits+"m" != text {
		return 0, &headerError{"X-Expires-In", text}
	}
	value, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(value > 0) || value > 1e9 {
		return 0, &headerError{"X-Expires-In", text}
	}
	return time.Duration(value * unit), nil
}

// parseSizeHint reads the client's estimate of the work, in microseconds. It returns 0 for an invalid estimate, as for a missing
// one.
func parseSizeHint(text string) time.Duration {
	if text == "" {
		return 0
	}
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us > 0) || us >= 1e12 {
		return 0
	}
	return time.Duration(us * float64(time.Microsecond))
}
