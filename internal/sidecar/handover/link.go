package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Link is the connection of two processes of one sidecar, for as long as both live.
type Link struct {
	conn    *net.UnixConn
	reader  *bufio.Reader
	writeMu sync.Mutex
}

// writeTimeout is how long a line may take to be written: the other side may hang.
const writeTimeout = 500 * time.Millisecond

// Send tells the other process a line.
func (l *Link) Send(line string) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := io.WriteString(l.conn, line+"\n")
	return err
}

// ReadLines hands each line of the other process to heard, until that process has ended, or Close.
func (l *Link) ReadLines(heard func(line string)) {
	var line []byte
	for {
		part, err := l.reader.ReadSlice('\n')
		if line = append(line, part...); errors.Is(err, bufio.ErrBufferFull) && len(line) < maxLinkLine {
			continue
		}
		if err != nil {
			return
		}
		heard(strings.TrimSuffix(string(line), "\n"))
		if line = line[:0]; cap(line) > 1<<16 {
			line = nil
		}
	}
}

// Close ends the link; the other process takes it for the end of this one.
func (l *Link) Close() error { return l.conn.Close() }

// ErrNoPredecessor: there is no process to take anything from.
var ErrNoPredecessor = errors.New("nobody is in service")

// Request asks the process in service, if there is one, for its listening socket and its state. Where that fails the sidecar
// starts from nothing; what was received is closed.
func (p Rendezvous) Request(within time.Duration) (ln net.Listener, state []byte, link *Link, err error) {
	var conn *net.UnixConn
	err = p.withAddr(p.fileName, func(a *net.UnixAddr) error {
		c, err := (&net.Dialer{Timeout: within}).Dial("unix", a.Name)
		if err == nil {
			conn = c.(*net.UnixConn)
		}
		return err
	})
	switch {
	case errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED):
		return nil, nil, nil, ErrNoPredecessor
	case err != nil:
		return nil, nil, nil, err
	}
	conn.SetDeadline(time.Now().Add(within))
	ln, state, in, err := receive(conn)
	if err != nil {
		conn.Close()
		return nil, nil, nil, err
	}
	conn.SetDeadline(time.Time{})
	return ln, state, &Link{conn: conn, reader: in}, nil
}

func receive(conn *net.UnixConn) (ln net.Listener, state []byte, in *bufio.Reader, err error) {
	if _, err := io.WriteString(conn, hello()); err != nil {
		return nil, nil, nil, err
	}
	// The socket comes with the first byte of the header.
	first, rights := make([]byte, 1), make([]byte, syscall.CmsgSpace(4*4))
	n, rightsN, _, _, err := conn.ReadMsgUnix(first, rights)
	files, bad := descriptors(rights[:rightsN])
	defer func() {
		for _, f := range files {
			f.Close() // net.FileListener has a copy
		}
	}()
	switch {
	case err != nil:
		return nil, nil, nil, err
	case n == 0:
		return nil, nil, nil, io.ErrUnexpectedEOF
	case bad != nil:
		return nil, nil, nil, bad
	}
	in = bufio.NewReaderSize(conn, 4<<10)
	line, err := in.ReadSlice('\n')
	if err != nil {
		return nil, nil, nil, fmt.Errorf("the header: %w", err)
	}
	length, sum, err := parseHeader(string(first) + string(line))
	if err != nil {
		return nil, nil, nil, err
	}
	if len(files) != 1 {
		return nil, nil, nil, fmt.Errorf("%d sockets came, and one was to come", len(files))
	}
	state = make([]byte, length)
	if _, err := io.ReadFull(in, state); err != nil {
		return nil, nil, nil, fmt.Errorf("the state: %w", err)
	}
	if err := verifyChecksum(state, sum); err != nil {
		return nil, nil, nil, err
	}
	if ln, err = net.FileListener(files[0]); err != nil {
		return nil, nil, nil, fmt.Errorf("the socket: %w", err)
	}
	return ln, state, in, nil
}

// descriptors is the descriptors that came with a message.
func descriptors(rights []byte) (files []*os.File, err error) {
	if len(rights) == 0 {
		return nil, nil
	}
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	for i := range messages {
		fds, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			return files, err
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}

// Server is the place of a process in service.
type Server struct {
	// Give is what a next process gets: the listening socket, which is closed afterwards, and the state.
	Snapshot func() (socket *os.File, state []byte, err error)
	// Met is called with the link to a next process that has been given both. The link is closed when it returns.
	OnSuccessor func(*Link)
	// Failed is called with what went wrong with one that asked; the next that asks may do better.
	OnError func(error)

	listener    *net.UnixListener
	connections sync.WaitGroup
	mu          sync.Mutex
	open        map[net.Conn]struct{}
	closed      bool
}

// requestTimeout is how long one that asks may take.
const requestTimeout = 2 * time.Second

// Start takes the place and answers those that ask until Close.
func (o *Server) Start(p Rendezvous) error {
	ln, err := p.listen()
	if err != nil {
		return err
	}
	o.listener, o.open = ln, map[net.Conn]struct{}{}
	o.connections.Go(func() {
		for {
			conn, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			o.mu.Lock()
			closed := o.closed
			o.open[conn] = struct{}{}
			o.mu.Unlock()
			if closed {
				conn.Close()
				return
			}
			o.connections.Go(func() {
				if err := o.serve(conn); err != nil {
					o.OnError(err)
				}
				conn.Close()
				o.mu.Lock()
				delete(o.open, conn)
				o.mu.Unlock()
			})
		}
	})
	return nil
}

// Close leaves the place and ends all links.
func (o *Server) Close() {
	o.listener.Close()
	o.mu.Lock()
	o.closed = true
	for c := range o.open {
		c.Close()
	}
	o.mu.Unlock()
	o.connections.Wait()
}

func (o *Server) serve(conn *net.UnixConn) error {
	conn.SetDeadline(time.Now().Add(requestTimeout))
	in := bufio.NewReaderSize(conn, maxHelloLine)
	line, err := in.ReadSlice('\n')
	if err != nil {
		return fmt.Errorf("a next process asks: %w", err)
	}
	if _, err := parseVersion(string(line)); err != nil {
		io.WriteString(conn, header(nil)) // it sees our version
		return err
	}
	socket, state, err := o.Snapshot()
	if err != nil {
		return err
	}
	text := header(state)
	defer socket.Close()
	raw, err := socket.SyscallConn() // File.Fd would make the socket block, for both processes
	if err != nil {
		return err
	}
	var sent error
	if err := raw.Control(func(fd uintptr) { _, _, sent = conn.WriteMsgUnix([]byte(text), syscall.UnixRights(int(fd)), nil) }); err != nil || sent != nil {
		return errors.Join(err, sent)
	}
	if _, err := conn.Write(state); err != nil {
		return err
	}
	conn.SetDeadline(time.Time{})
	o.OnSuccessor(&Link{conn: conn, reader: in})
	return nil
}
