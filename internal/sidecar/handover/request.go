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

// ErrNoPredecessor is the result of a request where no process is in service: there is nothing to hand over.
var ErrNoPredecessor = errors.New("no process is in service")

// Handover is what a successor gets from the process in service. The receiver closes the listener and the link.
type Handover struct {
	Listener net.Listener
	State    []byte
	Link     *Link
}

const (
	// maxDescriptors is how many descriptors are received with a header; more than one is an error.
	maxDescriptors = 4
	descriptorSize = 4 // bytes of a descriptor in a control message
	readerSize     = 4 << 10
)

// Request asks the process in service for a hand-over, and waits for it no longer than the time-out. Where no process is in service the
// error is ErrNoPredecessor. After any error nothing of the hand-over is left open, and the sidecar starts without a predecessor.
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
		_ = conn.Close() // err says why already
		return nil, err
	}
	return handover, nil
}

// receive does the successor's side of the exchange on a connection.
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
		return nil, fmt.Errorf("the header: %w", err)
	}
	length, checksum, err := parseHeader(string(first) + string(line))
	if err != nil {
		return nil, err
	}
	if len(files) != 1 {
		return nil, fmt.Errorf("%d sockets came, and one was to come", len(files))
	}
	state := make([]byte, length)
	if _, err := io.ReadFull(reader, state); err != nil {
		return nil, fmt.Errorf("the state: %w", err)
	}
	if err := verifyChecksum(state, checksum); err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	listener, err := net.FileListener(files[0])
	if err != nil {
		return nil, fmt.Errorf("the socket: %w", err)
	}
	return &Handover{Listener: listener, State: state, Link: &Link{conn: conn, reader: reader}}, nil
}

// receiveDescriptors reads the first byte of the header, with which the descriptors come. The caller closes the files, also after an error.
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

// parseDescriptors makes files of the descriptors in a control message. The caller closes them, also after an error.
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
