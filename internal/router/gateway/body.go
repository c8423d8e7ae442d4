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
	// firstBodyBuffer is the size of the first buffer of a body of unknown length.
	firstBodyBuffer = 512 // bytes
)

// errNoBodyMemory is the error of a body for which no memory is left.
var errNoBodyMemory = errors.New("no memory is left for the body")

// readBody reads the complete body, within the limits of the configuration in force at its start, and reserves memory for it, which the
// caller releases when the request ends. readBody returns false after it has sent an error response to a request that exceeds a limit.
// If the body cannot be read it panics with http.ErrAbortHandler.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *request) bool {
	maxBody, ok := g.checkHead(w, r)
	if !ok {
		return false
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // if it cannot be set, the timeouts of the HTTP server apply
	body, err := g.readComplete(http.MaxBytesReader(w, r.Body, maxBody), r.ContentLength, &req.reservedBytes)
	_ = controller.SetReadDeadline(time.Time{})
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		req.body = body
		return true
	case errors.As(err, &tooLong):
		g.fail(w, http.StatusRequestEntityTooLarge, "the body is too long")
		return false
	case errors.Is(err, errNoBodyMemory):
		w.Header().Set("Connection", "close")
		g.reject(w, http.StatusServiceUnavailable, defaultRetryAfter, errNoBodyMemory.Error())
		return false
	}
	panic(http.ErrAbortHandler) // the client disconnected, or sent the body too slowly
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

// readComplete reads a whole body and adds the memory that it reserves to reservedBytes, also where it fails. A body of known length
// takes one allocation; the buffer of any other is doubled, and old and new buffers count together while one is copied. With
// errNoBodyMemory it returns what it has read.
func (g *Gateway) readComplete(source io.Reader, length int64, reservedBytes *int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length > 0 {
		if !g.reserveBody(length, length, reservedBytes) {
			return nil, errNoBodyMemory
		}
		body := make([]byte, length)
		_, err := io.ReadFull(source, body)
		return body, err
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			larger := max(firstBodyBuffer, 2*cap(body))
			if !g.reserveBody(int64(larger), int64(larger), reservedBytes) {
				return body, errNoBodyMemory
			}
			smaller := int64(cap(body))
			body = append(make([]byte, 0, larger), body...)
			g.bodyMemory.release(smaller)
			*reservedBytes -= smaller
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// reserveBody reserves memory for a part of a body and adds it to reservedBytes.
func (g *Gateway) reserveBody(partBytes, bodyBytes int64, reservedBytes *int64) bool {
	if !g.bodyMemory.reserve(partBytes, bodyBytes) {
		return false
	}
	*reservedBytes += partBytes
	return true
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
