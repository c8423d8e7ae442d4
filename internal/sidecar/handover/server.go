package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// requestTimeout is how long the request of a successor and the answer to it may take.
const requestTimeout = 2 * time.Second

// Server answers the requests of successors in a process in service. Its functions are set before Start, and are called from a goroutine
// for each connection.
type Server struct {
	// Snapshot returns what a successor gets: the listening socket, which is closed when the link has ended, and the state.
	Snapshot func() (socket *os.File, state []byte, err error)
	// OnSuccessor is called with the link to a successor that was sent both. The link is closed when it returns.
	OnSuccessor func(*Link)
	// OnError is called when a request failed. Later requests are answered all the same.
	OnError func(error)

	listener    *net.UnixListener
	connections sync.WaitGroup // and the goroutine that accepts them
	mu          sync.Mutex
	open        map[net.Conn]struct{}
	closed      bool
}

// Start listens at the rendezvous, in place of the process that did so before, and answers requests until Close.
func (s *Server) Start(r Rendezvous) error {
	listener, err := r.listen()
	if err != nil {
		return err
	}
	s.listener, s.open = listener, map[net.Conn]struct{}{}
	s.connections.Go(s.accept)
	return nil
}

// accept serves connections until the listener is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.AcceptUnix()
		if err != nil {
			return
		}
		s.mu.Lock()
		closed := s.closed
		s.open[conn] = struct{}{}
		s.mu.Unlock()
		if closed {
			_ = conn.Close() // nothing was written
			return
		}
		s.connections.Go(func() {
			if err := s.serve(conn); err != nil {
				s.OnError(err)
			}
			_ = conn.Close() // a write that failed was reported
			s.mu.Lock()
			delete(s.open, conn)
			s.mu.Unlock()
		})
	}
}

// Close stops listening, ends all links and waits until OnSuccessor has returned for each.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.open {
		conn.Close()
	}
	s.mu.Unlock()
	s.connections.Wait()
}

// serve answers the request on a connection, and returns when its link has ended.
func (s *Server) serve(conn *net.UnixConn) error {
	if err := conn.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return err
	}
	reader := bufio.NewReaderSize(conn, maxHelloLine)
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return fmt.Errorf("read the request of a successor: %w", err)
	}
	if _, err := parseVersion(string(line)); err != nil {
		_, _ = io.WriteString(conn, header(nil)) // shows our version to the successor; err is reported in any case
		return err
	}
	socket, state, err := s.Snapshot()
	if err != nil {
		return err
	}
	defer func() { _ = socket.Close() }() // a copy of the listener's descriptor
	if err := sendState(conn, socket, state); err != nil {
		return err
	}
	_ = conn.SetDeadline(time.Time{}) // fails only after Close, which ends ReadLines as well
	s.OnSuccessor(&Link{conn: conn, reader: reader})
	return nil
}

// sendState sends the header with the socket, and the state.
func sendState(conn *net.UnixConn, socket *os.File, state []byte) error {
	raw, err := socket.SyscallConn() // File.Fd would make the socket blocking, in both processes
	if err != nil {
		return err
	}
	text := header(state)
	var sendErr error
	err = raw.Control(func(descriptor uintptr) {
		_, _, sendErr = conn.WriteMsgUnix([]byte(text), syscall.UnixRights(int(descriptor)), nil)
	})
	if err := errors.Join(err, sendErr); err != nil {
		return fmt.Errorf("send the socket to the successor: %w", err)
	}
	if _, err = conn.Write(state); err != nil {
		return fmt.Errorf("send the state to the successor: %w", err)
	}
	return nil
}
