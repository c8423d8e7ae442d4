package clientlimit

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// readAheadChunkBytes is the largest read of what a client sends before it has the response to its last request.
	readAheadChunkBytes = 4 << 10
	// maxReadAheadBytes is how much of it is kept: a short request. More is read and dropped, and the connection is closed after the
	// response. If it were left unread, an end of the client behind it would not be noticed.
	maxReadAheadBytes = 8 << 10
)

// readAhead holds what a client sends while its request is served. net/http notices the end of a client by reading one byte, and reads no
// further if that byte belongs to the next request. From there on a goroutine of readAhead reads.
type readAhead struct {
	mutex      sync.Mutex
	text       []byte        // not yet returned by Conn.Read
	err        error         // the read error after text; nil: none
	overflowed bool          // bytes were dropped
	reserved   *Reservation  // for the text and the buffer of the goroutine; nil: there are none
	done       chan struct{} // closed when the goroutine has ended; nil: there is none
}

// startReadAhead starts the goroutine. Without memory for it, the end of the client is noticed only after the response.
func (c *Conn) startReadAhead() {
	a := &c.readAhead
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.done != nil || a.err != nil || a.overflowed {
		return
	}
	if a.reserved == nil {
		a.reserved = c.listener.memory.Reserve(func() {})
		a.reserved.Arrived() // it is short, and the request before it is being served
		const bytes = readAheadChunkBytes + 2*maxReadAheadBytes
		if !a.reserved.TryGrow(bytes, bytes) {
			a.reserved = nil
			return
		}
	}
	a.done = make(chan struct{})
	go c.readAheadUntilStopped(a.done)
}

// readAheadUntilStopped reads until the client ends or stopReadAhead is called. At the end of the client it cancels its request.
func (c *Conn) readAheadUntilStopped(done chan struct{}) {
	defer close(done)
	a := &c.readAhead
	for buffer := make([]byte, readAheadChunkBytes); ; {
		n, err := c.Conn.Read(buffer)
		ended := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		a.mutex.Lock()
		a.overflowed = a.overflowed || len(a.text)+n > maxReadAheadBytes
		if !a.overflowed {
			a.text = append(a.text, buffer[:n]...)
		}
		if ended {
			a.err = err
		}
		a.mutex.Unlock()
		if ended {
			c.cancel()
		}
		if err != nil {
			return
		}
	}
}

// stopReadAhead ends the goroutine. What follows is read by net/http.
func (c *Conn) stopReadAhead() {
	a := &c.readAhead
	a.mutex.Lock()
	done := a.done
	a.done = nil
	a.mutex.Unlock()
	if done == nil {
		return
	}
	c.Conn.SetReadDeadline(time.Unix(1, 0)) // in the past
	<-done
	c.Conn.SetReadDeadline(time.Time{})
}

// read returns what was read ahead and, once there is nothing left, the error that followed it. ok is false where there is neither.
func (a *readAhead) read(p []byte) (n int, ok bool, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case len(a.text) > 0:
		n = copy(p, a.text)
		a.text = a.text[n:]
	case a.overflowed:
		err = net.ErrClosed
	default:
		err = a.err
	}
	if len(a.text) == 0 {
		a.release()
	}
	return n, n > 0 || err != nil, err
}

// hasOverflowed reports whether bytes were dropped.
func (a *readAhead) hasOverflowed() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.overflowed
}

// discard drops what was read ahead.
func (a *readAhead) discard() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.text = nil
	a.release()
}

// release releases the memory. The caller holds the mutex.
func (a *readAhead) release() {
	if a.reserved != nil && a.done == nil {
		a.reserved.Release()
		a.reserved, a.text = nil, nil
	}
}
