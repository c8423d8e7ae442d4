package rpc

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"petrelhook/internal/common/clientlimit"
)

// memoryPerRequestByte is the bytes of memory that a byte of a request takes beside the buffer that it is read into: in the copy that
// connect makes, and decoded.
const memoryPerRequestByte = 3

// memoryKey is the key of the Memory in the context of a request.
type memoryKey struct{}

// LimitMemory makes the requests of a server reserve memory while they arrive and are handled. It is called before the server serves.
func LimitMemory(server *http.Server, memory *clientlimit.Memory) {
	server.BaseContext = func(net.Listener) context.Context {
		return context.WithValue(context.Background(), memoryKey{}, memory)
	}
}

// limitBody returns a handler that reads the body of a request before it calls another one. A body without memory gets 503, one that does not
// arrive 408. A body that is longer than maxBytes is passed on as it is, and the other handler refuses it.
func limitBody(maxBytes int64, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		memory, ok := r.Context().Value(memoryKey{}).(*clientlimit.Memory)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		if r.Header.Get("Content-Encoding") != "" { // the decoded size is not known; no client of this package sends one
			http.Error(w, "the body is encoded", http.StatusUnsupportedMediaType)
			return
		}
		reserved := memory.Reserve(func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
		defer reserved.Release()
		body, err := readBody(r, maxBytes, reserved)
		if err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), bodyErrorStatus(err))
			return
		}
		rest := r.Body
		r = r.WithContext(r.Context()) // a copy: the server looks at the body of its own
		r.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(body), rest), rest}
		handler.ServeHTTP(w, r)
	})
}

// readBody reads the body of a request and reserves memory for it and for what is made of it.
func readBody(r *http.Request, maxBytes int64, reserved *clientlimit.Reservation) ([]byte, error) {
	length := r.ContentLength
	if length > maxBytes {
		length = -1
	}
	body, err := clientlimit.ReadBody(r.Context(), io.LimitReader(r.Body, maxBytes+1), length, maxBytes+1, reserved)
	if err != nil {
		return nil, err
	}
	reserved.Arrived()
	copies := memoryPerRequestByte * int64(len(body))
	if !reserved.Grow(r.Context(), copies, copies) {
		return nil, clientlimit.ErrNoMemory
	}
	return body, nil
}

// bodyErrorStatus returns the status of the response to a body that could not be read.
func bodyErrorStatus(err error) int {
	switch {
	case errors.Is(err, clientlimit.ErrNoMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
