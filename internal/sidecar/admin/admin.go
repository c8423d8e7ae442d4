package admin

import (
	"bufio"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"petrelhook/internal/sidecar/lifecycle"
)

const (
	// MaxCalls is how many calls may be open at the same time.
	MaxCalls = 24
	// evictAfter is how long a caller is protected from being evicted for a new one, because its call may still be in transit.
	evictAfter = 50 * time.Millisecond
	// callTime bounds the time for a call to arrive completely, and lingerTime the time for an answered caller to close its
	// connection.
	callTime   = 2 * time.Second
	lingerTime = 500 * time.Millisecond

	maxHead = 8 << 10 // bytes
	maxBody = 4 << 10 // bytes
)

// Server answers the operators' calls. It is safe for concurrent use.
type Server struct {
	// Counts returns the value that is the answer to GET /api/counts, as JSON. It must not block. It is set before Serve; nil:
	// nothing is counted.
	Counts func() any

	lifecycle  *lifecycle.Machine
	evictAfter time.Duration

	mu         sync.Mutex
	open       list.List     // of *caller, the oldest first
	callerLeft chan struct{} // closed and replaced when a caller is removed from open
	ended      bool
	callers    sync.WaitGroup
}

// caller is one open connection.
type caller struct {
	net.Conn
	accepted time.Time
	answered bool          // the answer is written; the caller only has to close its connection
	element  *list.Element // of Server.open; nil once removed
}

// New returns a server that reads and changes a sidecar's lifecycle. Serve runs it.
func New(m *lifecycle.Machine) *Server {
	return &Server{lifecycle: m, evictAfter: evictAfter, callerLeft: make(chan struct{})}
}

// Serve answers calls on ln until ln is closed. It then closes the open connections, waits for their goroutines and returns nil.
// Any other error of Accept is treated as temporary: Accept is retried when a caller has left, or after evictAfter. Serve is
// called once.
func (s *Server) Serve(ln net.Listener) error {
	defer s.end()
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil: // no descriptor is free or the caller has disconnected: the next Accept may succeed
			if !s.waitForCaller(s.evictAfter) {
				return err
			}
			continue
		}
		c := s.admit(conn)
		if c == nil {
			conn.Close()
			return nil
		}
		s.callers.Add(1)
		go func() {
			defer s.callers.Done()
			s.serve(c)
			s.finish(c)
		}()
	}
}

// admit adds a connection to the open callers. If MaxCalls are open, it evicts a caller that is already answered, otherwise the
// oldest one as soon as that is older than evictAfter. Meanwhile further connections wait in the listener's queue. It returns nil
// once the server has ended.
func (s *Server) admit(conn net.Conn) *caller {
	for {
		s.mu.Lock()
		if s.ended {
			s.mu.Unlock()
			return nil
		}
		now := time.Now()
		if s.open.Len() < MaxCalls {
			c := &caller{Conn: conn, accepted: now}
			c.element = s.open.PushBack(c)
			s.mu.Unlock()
			return c
		}
		evicted, wait := s.evictionCandidate(now)
		if evicted != nil {
			s.remove(evicted)
			evicted.Close()
		}
		s.mu.Unlock()
		if evicted == nil {
			s.waitForCaller(wait)
		}
	}
}

// evictionCandidate returns the caller to evict, or nil and the time until there is one. The calling function holds mu.
func (s *Server) evictionCandidate(now time.Time) (*caller, time.Duration) {
	for e := s.open.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*caller); c.answered {
			return c, 0
		}
	}
	c := s.open.Front().Value.(*caller)
	if wait := s.evictAfter - now.Sub(c.accepted); wait > 0 {
		return nil, wait
	}
	return c, 0
}

// waitForCaller waits until a caller has left, but no longer than limit. It returns false at once if the server has ended.
func (s *Server) waitForCaller(limit time.Duration) bool {
	s.mu.Lock()
	changed, ended := s.callerLeft, s.ended
	s.mu.Unlock()
	if ended {
		return false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
	return true
}

// remove removes a caller from the open ones. It does nothing if the caller was removed before. The calling function holds mu.
func (s *Server) remove(c *caller) {
	if c.element == nil {
		return
	}
	s.open.Remove(c.element)
	c.element = nil
	close(s.callerLeft)
	s.callerLeft = make(chan struct{})
}

// finish closes the connection of a caller after serve has returned.
func (s *Server) finish(c *caller) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(c)
}

// end closes the connections of all open callers and waits for their goroutines.
func (s *Server) end() {
	s.mu.Lock()
	s.ended = true
	for e := s.open.Front(); e != nil; e = e.Next() {
		e.Value.(*caller).Close()
	}
	s.mu.Unlock()
	s.callers.Wait()
}

// serve reads one call and answers it. A caller that disconnects or does not send a complete call in time gets no answer.
func (s *Server) serve(c *caller) {
	c.SetDeadline(c.accepted.Add(callTime))
	limited := &io.LimitedReader{R: c, N: maxHead}
	reader := bufio.NewReaderSize(limited, 1<<10)
	a, ok := s.read(c, reader, limited)
	if !ok {
		return
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n", a.status, http.StatusText(a.status), len(a.text)+1)
	if a.allow != "" {
		head += "Allow: " + a.allow + "\r\n"
	}
	c.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c, head+"\r\n"+a.text+"\n"); err != nil {
		return
	}
	s.mu.Lock()
	c.answered = true
	s.mu.Unlock()
	// A close with unread bytes would reset the connection, and the caller could lose the answer.
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite() // the connection is closed in any case
		_, _ = io.Copy(io.Discard, io.LimitReader(c, maxBody))
	}
}

// read reads a call, and carries it out once it has arrived completely. ok is false if the caller gets no answer.
func (s *Server) read(c *caller, reader *bufio.Reader, limited *io.LimitedReader) (a answer, ok bool) {
	req, err := http.ReadRequest(reader)
	switch {
	case err != nil && limited.N <= 0:
		return answer{status: http.StatusRequestHeaderFieldsTooLarge, text: "a head over 8 KiB"}, true
	case err != nil && incomplete(err):
		return a, false
	case err != nil:
		return answer{status: http.StatusBadRequest, text: "no HTTP/1.1 call"}, true
	case req.ContentLength > maxBody:
		return answer{status: http.StatusRequestEntityTooLarge, text: "a body over 4 KiB"}, true
	}
	if req.Header.Get("Expect") == "100-continue" {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	limited.N = maxBody + maxHead // the framing of chunks counts too
	switch n, err := io.Copy(io.Discard, io.LimitReader(req.Body, maxBody+1)); {
	case n > maxBody || err != nil && limited.N <= 0:
		return answer{status: http.StatusRequestEntityTooLarge, text: "a body over 4 KiB"}, true
	case err != nil && incomplete(err):
		return a, false
	case err != nil:
		return answer{status: http.StatusBadRequest, text: "the body cannot be read"}, true
	}
	return handle(s, req.Method, req.URL.Path), true
}

// incomplete reports whether an error means that the call did not arrive completely, rather than that it is invalid.
func incomplete(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
