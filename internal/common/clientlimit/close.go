package clientlimit

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/common/sock"
)

const (
	// lingerTimeout is how long a client that still sends can read the last response, and maxLingerBytes how much of what it sends is dropped
	// meanwhile. lingerInterval is the time between two looks at whether the response has arrived.
	lingerTimeout  = time.Second
	maxLingerBytes = 32 << 20
	lingerInterval = 50 * time.Millisecond
)

// CloseWrite closes the direction to the client. net/http does that before it closes a connection whose request it has not read completely,
// so that the client gets the response.
func (c *Conn) CloseWrite() error {
	c.enter(stateClosing)
	c.halfClosed.Store(true)
	if conn, ok := c.Conn.(closeWriter); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. Where the client has not acknowledged all of the last response, or may not have read it because it still sends,
// the connection is kept for a bounded time.
func (c *Conn) Close() error {
	c.closing.Do(func() {
		c.endRequest(stateClosing)
		c.cancel()
		c.readAhead.discard()
		switch {
		case c.writeError.Load() || c.unframed.Load(): // what the client has is no whole response
			_ = sock.Abort(c.Conn)
			c.end()
		case c.halfClosed.Load() || sock.Unsent(c.Conn):
			go c.linger()
		default:
			_ = c.Conn.Close()
			c.end()
		}
	})
	return nil
}

// linger reads and drops what the client sends until it ends, because closing a connection with unread bytes sends a reset, which can discard
// the response. It gives a client writeTimeout to acknowledge the response, and lingerTimeout from then on, and resets a connection whose
// client has not, because the kernel would keep what is unsent.
func (c *Conn) linger() {
	defer c.end()
	_ = c.CloseWrite() // the connection may have been reset
	buffer := make([]byte, 4<<10)
	began, dropped := time.Now(), 0
	for dropped < maxLingerBytes {
		elapsed := time.Since(began)
		if elapsed > writeTimeout || (elapsed > lingerTimeout && !sock.Unsent(c.Conn)) {
			break
		}
		c.Conn.SetReadDeadline(time.Now().Add(lingerInterval))
		n, err := c.Conn.Read(buffer)
		dropped += n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			break // the client has left
		}
	}
	if sock.Unsent(c.Conn) {
		_ = sock.Abort(c.Conn)
		return
	}
	_ = c.Conn.Close()
}

// end forgets a connection that is closed.
func (c *Conn) end() {
	c.sendBuffer.Ends()
	c.listener.remove(c)
}
