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
	// evictAfter is how long a caller may stay before it is closed for a new one: its call may be on the way.
	evictAfter = 50 * time.Millisecond
	// callTime bounds the time for a call to arrive completely, and lingerTime the time for an answered caller to close.
	callTime   = 2 * time.Second
	lingerTime = 500 * time.Millisecond

	maxHead = 8 << 10
	maxBody = 4 << 10
)

// Server answers the operators' calls. It is safe for concurrent use.
type Server struct {
	// Counts returns the value that GET /api/counts answers as JSON. It must not block. Nil: nothing is counted.
	Counts func() any

	lifecycle  *lifecycle.Machine
	evictAfter time.Duration

	mu         sync.Mutex
	open       list.List     // of *caller, the oldest first
	callerLeft chan struct{} // closed and replaced when a caller has left
	ended      bool
	callers    sync.WaitGroup
}

// caller is one open connection.
type caller struct {
	net.Conn
	accepted time.Time
	answered bool // it only has to close
	element  *list.Element
}

// New returns a server that reads and changes a sidecar's lifecycle. Serve runs it.
func New(m *lifecycle.Machine) *Server {
	return &Server{lifecycle: m, evictAfter: evictAfter, callerLeft: make(chan struct{})}
}

// Serve answers calls on ln until that is closed. It then closes the open ones, waits for their goroutines and returns nil. Any other
// error of Accept counts as temporary: it is tried again when a caller has left, or after evictAfter. Serve is called once.
func (s *Server) Serve(ln net.Listener) error {
	defer s.end()
	for {
		nc, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil: // no descriptor is free, or the caller has left: the next Accept may succeed
			if !s.waitForCaller(s.evictAfter) {
				return err
			}
			continue
		}
		c := s.admit(nc)
		if c == nil {
			nc.Close()
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

// admit makes a connection an open caller. Where MaxCalls are open it closes one that is answered already or, once that is older than
// evictAfter, the oldest one; until then it waits, and the others wait in the listener's queue. It returns nil once the server has ended.
func (s *Server) admit(nc net.Conn) *caller {
	for {
		s.mu.Lock()
		if s.ended {
			s.mu.Unlock()
			return nil
		}
		now := time.Now()
		if s.open.Len() < MaxCalls {
			c := &caller{Conn: nc, accepted: now}
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

// evictionCandidate returns the caller to close for a new one, or how long there is none. The caller of it holds mu.
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

// waitForCaller waits until a caller has left, or for a time. It returns false once the server has ended.
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

// remove removes a caller from the open ones, at most once. The caller of it holds mu.
func (s *Server) remove(c *caller) {
	if c.element == nil {
		return
	}
	s.open.Remove(c.element)
	c.element = nil
	close(s.callerLeft)
	s.callerLeft = make(chan struct{})
}

// finish closes a caller that was served.
func (s *Server) finish(c *caller) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(c)
}

// end closes all open callers and waits for their goroutines.
func (s *Server) end() {
	s.mu.Lock()
	s.ended = true
	for e := s.open.Front(); e != nil; e = e.Next() {
		e.Value.(*caller).Close()
	}
	s.mu.Unlock()
	s.callers.Wait()
}

// serve reads one call and answers it. A caller that leaves, or sends no complete call in time, gets no answer.
func (s *Server) serve(c *caller) {
	c.SetDeadline(c.accepted.Add(callTime))
	limit := &io.LimitedReader{R: c, N: maxHead}
	in := bufio.NewReaderSize(limit, 1<<10)
	a, ok := s.read(c, in, limit)
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
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok { // a close over unread bytes would reset the answer away
		_ = half.CloseWrite() // the connection is closed in any case
		_, _ = io.Copy(io.Discard, io.LimitReader(c, maxBody))
	}
}

// read reads a call and carries it out once it has arrived completely. It is not ok where the caller is to get no answer.
func (s *Server) read(c *caller, in *bufio.Reader, limit *io.LimitedReader) (a answer, ok bool) {
	req, err := http.ReadRequest(in)
	switch {
	case err != nil && limit.N <= 0:
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
	limit.N = maxBody + maxHead // chunks have heads too
	switch n, err := io.Copy(io.Discard, io.LimitReader(req.Body, maxBody+1)); {
	case n > maxBody || err != nil && limit.N <= 0:
		return answer{status: http.StatusRequestEntityTooLarge, text: "a body over 4 KiB"}, true
	case err != nil && incomplete(err):
		return a, false
	case err != nil:
		return answer{status: http.StatusBadRequest, text: "the body cannot be read"}, true
	}
	return handle(s, req.Method, req.URL.Path), true
}

// incomplete reports whether an error means that the caller sent no more, rather than something invalid.
func incomplete(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
