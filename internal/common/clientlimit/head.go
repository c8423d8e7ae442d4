package clientlimit

import (
	"bytes"
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// uncountedHeadMemory is the memory up to which the head of a request takes none that is reserved: nearly all are shorter.
	uncountedHeadMemory = 16 << 10
	// memoryPerHeadByte and memoryPerHeadLine are the bytes of memory that a byte and a line of a head take in buffers, strings and maps.
	memoryPerHeadByte = 2
	memoryPerHeadLine = 512
	// headSlackBytes is how much longer than the limit a head may be before its connection is refused: the server refuses the heads below
	// that itself, and what follows a head may have come in the same read.
	headSlackBytes = 8 << 10
)

// The responses to a head over the limit, and to one that does not arrive in time.
const (
	headTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headTooLate = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// errHeadRefused ends a connection without a further response: it has the type that net/http takes for a broken connection.
var errHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head of the request is refused")}

// countHead counts bytes that were read, and reports whether they are within the limit and there is memory for them.
func (c *Conn) countHead(text []byte) bool {
	c.transfer.received(int64(len(text)), time.Now())
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.headBytes += int64(len(text))
	taken := c.headMemory
	c.headMemory += headMemory(text)
	if c.headMemory <= uncountedHeadMemory {
		return true
	}
	if limit := c.listener.timeouts().HeadBytes; limit > 0 && c.headBytes > int64(limit+headSlackBytes) {
		c.refuseHead(headTooLong)
		return false
	}
	if c.head == nil {
		c.head = c.listener.memory.Reserve(func() { _ = c.Conn.Close() })
	}
	c.head.Received(int64(len(text)))
	if !c.head.Grow(context.Background(), c.headMemory-max(taken, uncountedHeadMemory), smallMessageBytes+1) {
		c.refuseHead(rejection)
		return false
	}
	return true
}

// headMemory returns the memory that a part of a head takes. What follows the head in the same read has no lines.
func headMemory(text []byte) int64 {
	head, _, _ := bytes.Cut(text, []byte("\r\n\r\n"))
	return memoryPerHeadByte*int64(len(text)) + memoryPerHeadLine*int64(bytes.Count(head, []byte("\n")))
}

// refuseHead sends a response to a head that net/http does not get whole. It would take the part that it has for a request that cannot be
// read, and its response to that is dropped. No other response is in progress.
func (c *Conn) refuseHead(response string) {
	c.listener.unreadable.Add(1)
	c.refused.Store(true)
	c.Conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
	io.WriteString(c.Conn, response)
	_ = c.CloseWrite() // the connection may have been reset
}
