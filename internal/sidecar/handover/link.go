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
	conn *net.UnixConn
	in   *bufio.Reader
	mu   sync.Mutex
}

// sayTime is how long a line may take to be written: the other side may hang.
const sayTime = 500 * time.Millisecond

// Say tells the other process a line.
func (l *Link) Say(line string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(sayTime))
	_, err := io.WriteString(l.conn, line+"\n")
	return err
}

// Listen hands each line of the other process to heard, until that process has ended, or Close.
func (l *Link) Listen(heard func(line string)) {
	var line []byte
	for {
		part, err := l.in.ReadSlice('\n')
		if line = append(line, part...); errors.Is(err, bufio.ErrBufferFull) && len(line) < maxSaid {
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

// ErrNobody: there is no process to take anything from.
var ErrNobody = errors.New("nobody is in service")

// Take asks the process in service, if there is one, for its listening socket and its state. Where that fails the sidecar
// starts from nothing; what was received is closed.
func (p Place) Take(within time.Duration) (ln net.Listener, state []byte, link *Link, err error) {
	var conn *net.UnixConn
	err = p.addr(p.base, func(a *net.UnixAddr) error {
		c, err := (&net.Dialer{Timeout: within}).Dial("unix", a.Name)
		if err == nil {
			conn = c.(*net.UnixConn)
		}
		return err
	})
	switch {
	case errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED):
		return nil, nil, nil, ErrNobody
	case err != nil:
		return nil, nil, nil, err
	}
	conn.SetDeadline(time.Now().Add(within))
	ln, state, in, err := take(conn)
	if err != nil {
		conn.Close()
		return nil, nil, nil, err
	}
	conn.SetDeadline(time.Time{})
	return ln, state, &Link{conn: conn, in: in}, nil
}

func take(conn *net.UnixConn) (ln net.Listener, state []byte, in *bufio.Reader, err error) {
	if _, err := io.WriteString(conn, hello()); err != nil {
		return nil, nil, nil, err
	}
	// The socket comes with the first byte of the header.
	first, rights := make([]byte, 1), make([]byte, syscall.CmsgSpace(4*4))
	n, rightsN, _, _, err := conn.ReadMsgUnix(first, rights)
	files, bad := received(rights[:rightsN])
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
	length, sum, err := announced(string(first) + string(line))
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
	if err := check(state, sum); err != nil {
		return nil, nil, nil, err
	}
	if ln, err = net.FileListener(files[0]); err != nil {
		return nil, nil, nil, fmt.Errorf("the socket: %w", err)
	}
	return ln, state, in, nil
}

// received is the descriptors that came with a message.
func received(rights []byte) (files []*os.File, err error) {
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

// Offer is the place of a process in service.
type Offer struct {
	// Give is what a next process gets: the listening socket, which is closed afterwards, and the state.
	Give func() (socket *os.File, state []byte, err error)
	// Met is called with the link to a next process that has been given both. The link is closed when it returns.
	Met func(*Link)
	// Failed is called with what went wrong with one that asked; the next that asks may do better.
	Failed func(error)

	ln      *net.UnixListener
	callers sync.WaitGroup
	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	closed  bool
}

// askTime is how long one that asks may take.
const askTime = 2 * time.Second

// Open takes the place and answers those that ask until Close.
func (o *Offer) Open(p Place) error {
	ln, err := p.listen()
	if err != nil {
		return err
	}
	o.ln, o.conns = ln, map[net.Conn]struct{}{}
	o.callers.Go(func() {
		for {
			conn, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			o.mu.Lock()
			closed := o.closed
			o.conns[conn] = struct{}{}
			o.mu.Unlock()
			if closed {
				conn.Close()
				return
			}
			o.callers.Go(func() {
				if err := o.serve(conn); err != nil {
					o.Failed(err)
				}
				conn.Close()
				o.mu.Lock()
				delete(o.conns, conn)
				o.mu.Unlock()
			})
		}
	})
	return nil
}

// Close leaves the place and ends all links.
func (o *Offer) Close() {
	o.ln.Close()
	o.mu.Lock()
	o.closed = true
	for c := range o.conns {
		c.Close()
	}
	o.mu.Unlock()
	o.callers.Wait()
}

func (o *Offer) serve(conn *net.UnixConn) error {
	conn.SetDeadline(time.Now().Add(askTime))
	in := bufio.NewReaderSize(conn, maxLine)
	line, err := in.ReadSlice('\n')
	if err != nil {
		return fmt.Errorf("a next process asks: %w", err)
	}
	if _, err := parse(string(line)); err != nil {
		io.WriteString(conn, header(nil)) // it sees our version
		return err
	}
	socket, state, err := o.Give()
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
	o.Met(&Link{conn: conn, in: in})
	return nil
}
