package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultMaxBody = 8 << 20 // bytes, where the configuration sets no limit
	bodyTimeout    = 10 * time.Second
)

// readBody reads the complete body, within the limits of the configuration in force at its start, and adds its size to
// bufferedBytes; the caller subtracts it when the request ends. readBody returns false after it has sent an error response to a
// request that exceeds a limit. If the body cannot be read it panics with http.ErrAbortHandler.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *request) bool {
	maxBody := int64(defaultMaxBody)
	if t := g.table.Load(); t != nil {
		if t.Limits.MaxBodyBytes > 0 {
			maxBody = t.Limits.MaxBodyBytes
		}
		if t.Limits.MaxHeaderBytes > 0 && headerBytes(r) > t.Limits.MaxHeaderBytes {
			w.Header().Set("Connection", "close")
			g.fail(w, http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
			return false
		}
	}
	if r.ContentLength > maxBody {
		w.Header().Set("Connection", "close")
		g.fail(w, http.StatusRequestEntityTooLarge, "the body is too long")
		return false
	}
	if g.options.MaxBodyMemory > 0 && g.bufferedBytes.Load()+max(0, r.ContentLength) > g.options.MaxBodyMemory {
		w.Header().Set("Connection", "close")
		g.reject(w, http.StatusServiceUnavailable, defaultRetryAfter, "no memory is left for the body")
		return false
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // if it cannot be set, the timeouts of the HTTP server apply
	body, err := readComplete(w, r, maxBody)
	_ = controller.SetReadDeadline(time.Time{})
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		g.fail(w, http.StatusRequestEntityTooLarge, "the body is too long")
		return false
	}
	if err != nil {
		panic(http.ErrAbortHandler) // the client disconnected, or sent the body too slowly
	}
	g.bufferedBytes.Add(int64(len(body)))
	req.body = body
	return true
}

// readComplete reads the whole body. A body of known length takes one allocation; any other may have up to maxBody bytes.
func readComplete(w http.ResponseWriter, r *http.Request, maxBody int64) ([]byte, error) {
	if r.ContentLength <= 0 {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
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
