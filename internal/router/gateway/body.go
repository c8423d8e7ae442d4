package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultMaxBody = 8 << 20 // bytes, where the configuration has no bound
	bodyTimeout    = 10 * time.Second
)

// readBody reads the complete body, within the bounds in force as it begins, and counts its bytes until the request
// ends. It answers a request that exceeds a bound.
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
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout)) // where it can't be set the server's own bounds hold
	body, err := readComplete(w, r, maxBody)
	_ = control.SetReadDeadline(time.Time{})
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		g.fail(w, http.StatusRequestEntityTooLarge, "the body is too long")
		return false
	}
	if err != nil {
		panic(http.ErrAbortHandler) // the client ended it, or sent too slowly
	}
	g.bufferedBytes.Add(int64(len(body)))
	req.body = body
	return true
}

// readComplete reads a body of known length in one allocation, and another one up to maxBody bytes.
func readComplete(w http.ResponseWriter, r *http.Request, maxBody int64) ([]byte, error) {
	if r.ContentLength <= 0 {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// headerBytes is approximately how many bytes the request line and the header fields had.
func headerBytes(r *http.Request) int {
	const perField = 4 // colon, space and line end
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + perField
		}
	}
	return n
}
