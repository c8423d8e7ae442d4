package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// ErrNoPredecessor is the error of a request when no process is in service, so that there is nothing to hand over.
var ErrNoPredecessor = errors.New("no process is in service")

// Handover holds what a successor receives from the process in service. The receiver must close the listener and the link.
type Handover struct {
	Listener net.Listener
	State    []byte
	Link     *Link
}

const (
	// maxDescriptors is how many descriptors are received with a header at most; more than one is an error.
	maxDescriptors = 4
	descriptorSize = 4 // bytes of a descriptor in a control message
	readerSize     = 4 << 10
)

// Request asks the process in service for a hand-over. Connecting and the exchange may each take as long as timeout. The error is
// ErrNoPredecessor if no process is in service. After any error all descriptors of the hand-over are closed, and the sidecar
// starts without a predecessor.
func (r Rendezvous) Request(timeout time.Duration) (*Handover, error) {
	var conn *net.UnixConn
	err := r.withAddr(r.fileName, func(addr *net.UnixAddr) error {
		c, err := (&net.Dialer{Timeout: timeout}).Dial("unix", addr.Name)
		if err == nil {
			conn = c.(*net.UnixConn)
		}
		return err
	})
	switch {
	case errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED):
		return nil, ErrNoPredecessor
	case err != nil:
		return nil, err
	}
	handover, err := receive(conn, timeout)
	if err != nil {
		_ = conn.Close() // the error of the exchange is returned
		return nil, err
	}
	return handover, nil
}

// receive carries out the successor's side of the exchange on a connection.
func receive(conn *net.UnixConn, timeout time.Duration) (*Handover, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	if _, err := io.WriteString(conn, hello()); err != nil {
		return nil, err
	}
	first, files, err := receiveDescriptors(conn)
	defer func() {
		for _, file := range files {
			_ = file.Close() // net.FileListener has a copy
		}
	}()
	if err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(conn, readerSize)
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return nil, fmt.Errorf("read the header: %w", err)
	}
	length, checksum, err := parseHeader(string(first) + string(line))
	if err != nil {
		return nil, err
	}
	if len(files) != 1 {
		return nil, fmt.Errorf("received %d sockets, want 1", len(files))
	}
	state := make([]byte, length)
	if _, err := io.ReadFull(reader, state); err != nil {
		return nil, fmt.Errorf("read the state: %w", err)
	}
	if err := verifyChecksum(state, checksum); err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	listener, err := net.FileListener(files[0])
	if err != nil {
		return nil, fmt.Errorf("use the received socket: %w", err)
	}
	return &Handover{Listener: listener, State: state, Link: &Link{conn: conn, reader: reader}}, nil
}

// receiveDescriptors reads the first byte of the header and the descriptors that are sent with it. The caller must close the
// files, also after an error.
func receiveDescriptors(conn *net.UnixConn) (first []byte, files []*os.File, err error) {
	first = make([]byte, 1)
	control := make([]byte, syscall.CmsgSpace(maxDescriptors*descriptorSize))
	n, controlSize, _, _, err := conn.ReadMsgUnix(first, control)
	files, parseErr := parseDescriptors(control[:controlSize])
	switch {
	case err != nil:
		return nil, files, err
	case n == 0:
		return nil, files, io.ErrUnexpectedEOF
	}
	return first, files, parseErr
}

// parseDescriptors returns the descriptors in a control message as files. The caller must close them, also after an error.
func parseDescriptors(control []byte) (files []*os.File, err error) {
	if len(control) == 0 {
		return nil, nil
	}
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return nil, err
	}
	for i := range messages {
		descriptors, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			return files, err
		}
		for _, descriptor := range descriptors {
			syscall.CloseOnExec(descriptor)
			files = append(files, os.NewFile(uintptr(descriptor), "handed over"))
		}
	}
	return files, nil
}
