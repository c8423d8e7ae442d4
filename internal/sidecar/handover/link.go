package handover

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// writeTimeout bounds the time to write a line, so that Send returns if the other process hangs.
	writeTimeout = 500 * time.Millisecond
	// maxReusedBuffer is the largest buffer, in bytes, that is reused for the next line.
	maxReusedBuffer = 64 << 10
)

// Link connects two processes of one sidecar while both run. Send is safe for concurrent use; ReadLines is called by one
// goroutine.
type Link struct {
	conn    net.Conn
	reader  *bufio.Reader
	writeMu sync.Mutex
}

// NewLink returns a link over a connection other than a Unix socket, such as one in memory.
func NewLink(conn net.Conn) *Link {
	return &Link{conn: conn, reader: bufio.NewReaderSize(conn, readerSize)}
}

// Send sends a line to the other process. The line must not contain a newline. After an error, the line may
// have arrived in part or not at all: the other process has ended or hangs, or the link is closed.
func (l *Link) Send(line string) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := io.WriteString(l.conn, line+"\n")
	return err
}

// ReadLines calls handle with each line from the other process, on the caller's goroutine. It returns when the other process has
// ended, when a line is too long, or after Close.
func (l *Link) ReadLines(handle func(line string)) {
	var line []byte
	for {
		chunk, err := l.reader.ReadSlice('\n')
		if line = append(line, chunk...); errors.Is(err, bufio.ErrBufferFull) && len(line) < maxLinkLine {
			continue
		}
		if err != nil {
			return
		}
		handle(strings.TrimSuffix(string(line), "\n"))
		if line = line[:0]; cap(line) > maxReusedBuffer {
			line = nil
		}
	}
}

// Close closes the link. The other process treats that as the end of this process.
func (l *Link) Close() error { return l.conn.Close() }
