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

// requestTimeout bounds the time to read the request of a successor and to answer it.
const requestTimeout = 2 * time.Second

// Server answers the requests of successors in the process in service. Its functions must be set before Start. They are called
// from one goroutine for each connection, so they must be safe for concurrent use.
type Server struct {
	// Snapshot returns the listening socket and the state for a successor. The server closes socket when the link has ended.
	Snapshot func() (socket *os.File, state []byte, err error)
	// OnSuccessor is called with the link to a successor once the socket and the state are sent. The link is closed when it
	// returns.
	OnSuccessor func(*Link)
	// OnNotSent is called when the socket and the state that Snapshot returned could not be sent to the successor.
	OnNotSent func()
	// OnError is called with the error of a failed request. The server goes on to answer later requests.
	OnError func(error)

	listener    *net.UnixListener
	connections sync.WaitGroup // the goroutines of connections and the one that accepts them
	mu          sync.Mutex
	open        map[net.Conn]struct{}
	closed      bool
}

// Start listens at the rendezvous, replacing the process that listened there before, and answers requests until Close.
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
			_ = conn.Close() // nothing was written to it
			return
		}
		s.connections.Go(func() {
			if err := s.serve(conn); err != nil {
				s.OnError(err)
			}
			_ = conn.Close() // a failed write was reported already
			s.mu.Lock()
			delete(s.open, conn)
			s.mu.Unlock()
		})
	}
}

// Close stops listening, closes all links and waits until OnSuccessor has returned for each of them.
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

// serve answers the request on a connection. It returns when the link over the connection has ended.
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
		_, _ = io.WriteString(conn, header(nil)) // tells the successor our version; err is reported in any case
		return err
	}
	socket, state, err := s.Snapshot()
	if err != nil {
		return err
	}
	defer func() { _ = socket.Close() }() // a copy of the listener's descriptor
	if err := sendState(conn, socket, state); err != nil {
		s.OnNotSent()
		return err
	}
	_ = conn.SetDeadline(time.Time{}) // fails only after Close, which ends ReadLines too
	s.OnSuccessor(&Link{conn: conn, reader: reader})
	return nil
}

// sendState sends the header with the socket, then the state.
func sendState(conn *net.UnixConn, socket *os.File, state []byte) error {
	raw, err := socket.SyscallConn() // File.Fd would make the socket blocking in both processes
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
