package gateway

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/common/clientlimit"
)

const defaultMaxBody = 8 << 20 // bytes, where the configuration sets no limit

// readBody reads the complete body, within the limits of the configuration in force at its start, and reserves memory for it, which the
// caller releases when the request ends. readBody returns false after it has sent an error response to a request that exceeds a limit, that
// does not arrive before its deadline, or that made no progress when others needed its memory. If the body cannot be read it panics with
// http.ErrAbortHandler.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *request) bool {
	maxBody, ok := g.checkHead(w, r)
	if !ok {
		return false
	}
	if r.ContentLength == 0 {
		return true
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(g.bodyDeadline(r, req)) // if it cannot be set, the timeouts of the HTTP server apply
	body, err := clientlimit.ReadBody(r.Context(), http.MaxBytesReader(w, r.Body, maxBody), r.ContentLength, maxBody, req.memory)
	req.memory.Arrived()
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		req.body = body
		return true
	}
	w.Header().Set("Connection", "close")
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		g.fail(w, http.StatusRequestEntityTooLarge, "the body is too long")
	case errors.Is(err, clientlimit.ErrNoMemory):
		g.reject(w, http.StatusServiceUnavailable, defaultRetryAfter, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		g.reject(w, http.StatusRequestTimeout, defaultRetryAfter, "the body did not arrive in time")
	default:
		panic(http.ErrAbortHandler) // the client has disconnected, or has sent what is no body
	}
	return false
}

// bodyDeadline returns the time by which the body of a request must have arrived: the deadline of the request, after which nobody waits for
// its response.
func (g *Gateway) bodyDeadline(r *http.Request, req *request) time.Time {
	table := g.table.Load()
	if table == nil {
		return req.times.received.Add(defaultTimeout)
	}
	return requestDeadline(r, req.times.received, table.Route(r.Host, r.URL.Path))
}

// checkHead checks the sizes of the head and of a body with a known length, and returns the greatest size of the body. ok is false
// after an error response.
func (g *Gateway) checkHead(w http.ResponseWriter, r *http.Request) (maxBody int64, ok bool) {
	maxBody = defaultMaxBody
	if t := g.table.Load(); t != nil {
		if t.Limits.MaxBodyBytes > 0 {
			maxBody = t.Limits.MaxBodyBytes
		}
		if t.Limits.MaxHeaderBytes > 0 && headerBytes(r) > t.Limits.MaxHeaderBytes {
			w.Header().Set("Connection", "close")
			g.fail(w, http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
			return 0, false
		}
	}
	if r.ContentLength > maxBody {
		w.Header().Set("Connection", "close")
		g.fail(w, http.StatusRequestEntityTooLarge, "the body is too long")
		return 0, false
	}
	return maxBody, true
}

// headerBytes returns the approximate size of the request line and the header fields.
func headerBytes(r *http.Request) int {
	const perField = 4 // colon, space and CRLF
	total := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + perField
		}
	}
	return total
}
