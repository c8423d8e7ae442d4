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
	// MaxCalls is how many calls are open at once.
	MaxCalls = 24
	// unheard is for how long a caller is waited for before it makes room for another: its call may be on its way.
	unheard = 50 * time.Millisecond
	// callTime is within how much a call must be whole, and lingerTime how long an answered caller is waited for to close.
	callTime   = 2 * time.Second
	lingerTime = 500 * time.Millisecond

	maxHead = 8 << 10
	maxBody = 4 << 10
)

// Server answers operators.
type Server struct {
	// Counts gives what GET /api/counts tells, as JSON has it. It must not wait. nil: nothing is counted.
	Counts func() any

	machine *lifecycle.Machine
	unheard time.Duration

	mu      sync.Mutex
	open    list.List     // of *caller, the longest here first
	changed chan struct{} // closed when a caller has gone
	ended   bool
	callers sync.WaitGroup
}

// caller is one open connection.
type caller struct {
	net.Conn
	came     time.Time
	answered bool // it is only waited for to close
	at       *list.Element
}

// New makes a server that answers from a machine; Serve runs it.
func New(m *lifecycle.Machine) *Server {
	return &Server{machine: m, unheard: unheard, changed: make(chan struct{})}
}

// Serve answers calls on ln until that is closed, then ends those that are open and returns.
func (s *Server) Serve(ln net.Listener) error {
	defer s.end()
	for {
		nc, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil: // out of descriptors, or a caller that has gone: the next may do better
			if !s.wait(s.unheard) {
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
			s.leave(c)
		}()
	}
}

// admit finds room for a caller: that of one that is answered already, or of the one that has been silent for the longest,
// once it has been heard out. It waits that long, with the others in the listener's queue.
func (s *Server) admit(nc net.Conn) *caller {
	for {
		s.mu.Lock()
		if s.ended {
			s.mu.Unlock()
			return nil
		}
		now := time.Now()
		if s.open.Len() < MaxCalls {
			c := &caller{Conn: nc, came: now}
			c.at = s.open.PushBack(c)
			s.mu.Unlock()
			return c
		}
		victim, wait := s.victim(now)
		if victim != nil {
			s.remove(victim)
			victim.Close()
		}
		s.mu.Unlock()
		if victim == nil {
			s.wait(wait)
		}
	}
}

// victim is who makes room, or how long there is nobody who does. The caller holds mu.
func (s *Server) victim(now time.Time) (*caller, time.Duration) {
	for e := s.open.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*caller); c.answered {
			return c, 0
		}
	}
	c := s.open.Front().Value.(*caller)
	if wait := s.unheard - now.Sub(c.came); wait > 0 {
		return nil, wait
	}
	return c, 0
}

// wait waits until a caller has gone, or for a time; it is false once the server has ended.
func (s *Server) wait(most time.Duration) bool {
	s.mu.Lock()
	changed, ended := s.changed, s.ended
	s.mu.Unlock()
	if ended {
		return false
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
	return true
}

// remove takes a caller out. The caller of it holds mu.
func (s *Server) remove(c *caller) {
	if c.at == nil {
		return
	}
	s.open.Remove(c.at)
	c.at = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) leave(c *caller) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(c)
}

// end closes all that is open and waits for who serves it.
func (s *Server) end() {
	s.mu.Lock()
	s.ended = true
	for e := s.open.Front(); e != nil; e = e.Next() {
		e.Value.(*caller).Close()
	}
	s.mu.Unlock()
	s.callers.Wait()
}

// serve reads one call and answers it. Who goes away or says nothing gets no answer.
func (s *Server) serve(c *caller) {
	c.SetDeadline(c.came.Add(callTime))
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
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok { // a close with bytes unread would reset the answer away
		t.CloseWrite()
		io.Copy(io.Discard, io.LimitReader(c, maxBody))
	}
}

// read reads a call and carries it out once it is whole.
func (s *Server) read(c *caller, in *bufio.Reader, limit *io.LimitedReader) (a answer, ok bool) {
	req, err := http.ReadRequest(in)
	switch {
	case err != nil && limit.N <= 0:
		return answer{status: http.StatusRequestHeaderFieldsTooLarge, text: "a head over 8 KiB"}, true
	case err != nil && gone(err):
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
	case err != nil && gone(err):
		return a, false
	case err != nil:
		return answer{status: http.StatusBadRequest, text: "the body cannot be read"}, true
	}
	return call(s, req.Method, req.URL.Path), true
}

// gone reports whether the caller said no more, rather than something that makes no sense.
func gone(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
