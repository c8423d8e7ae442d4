package sock

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// exitTime is how long the kernel may take to end all sockets of a process: it may end a listener after the connections, and on a busy machine
// it is interrupted meanwhile.
const exitTime = 100 * time.Millisecond

// Presence is what a probe found out about a server.
type Presence int

// What a probe found out.
const (
	Unknown Presence = iota // nothing was found out, as where this process has no descriptor left
	Gone                    // the server accepts no connections, or its machine does not answer
	Present                 // the server has accepted a connection when all sockets of a process that ended before would have ended
)

// Probe finds out whether a server whose connection has ended is still there: the kernel ends the connections of a process that was killed as
// the process itself would. It opens up to two connections by dial, one after the other, and passes those that it does not return to discard.
// If usable is true the server keeps connection open, and the caller owns it. Probe takes up to 100 ms, and the time that dial takes.
func Probe[C net.Conn](dial func() (C, error), discard func(C)) (connection C, usable bool, presence Presence) {
	began := time.Now()
	connection, err := dial()
	if err == nil {
		switch watch(connection) {
		case staysOpen:
			return connection, true, Present
		case sendsUnasked:
			discard(connection)
			return connection, false, Present
		}
		discard(connection)
	} else if !endedAtOnce(err) {
		return connection, false, presenceAfter(err)
	}
	// Either the listener has ended, or the server ends connections that it has no room for. Only the latter accepts another one.
	time.Sleep(time.Until(began.Add(exitTime)))
	connection, err = dial()
	switch {
	case err == nil:
		discard(connection)
		return connection, false, Present
	case endedAtOnce(err):
		return connection, false, Present
	}
	return connection, false, presenceAfter(err)
}

// endedAtOnce reports whether a failed dial had opened a connection, which the other side has reset.
func endedAtOnce(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// presenceAfter returns what a failed dial says about the server.
func presenceAfter(err error) Presence {
	for _, remote := range []error{syscall.ECONNREFUSED, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ETIMEDOUT} {
		if errors.Is(err, remote) {
			return Gone
		}
	}
	var dialError *net.OpError
	if errors.As(err, &dialError) && dialError.Timeout() {
		return Gone
	}
	return Unknown
}

// fate is what becomes of a new connection to a server.
type fate int

const (
	staysOpen    fate = iota
	ends              // its process has ended, or does not take it
	sendsUnasked      // the server sends bytes before a request
)

// watch waits until a new connection ends, or a process that had ended before would have ended it.
func watch(c net.Conn) fate {
	_ = c.SetReadDeadline(time.Now().Add(exitTime)) // if it fails, so does reading
	n, err := c.Read(make([]byte, 1))
	_ = c.SetReadDeadline(time.Time{}) // if it fails, the next use of the connection fails too
	switch {
	case n > 0:
		return sendsUnasked
	case errors.Is(err, os.ErrDeadlineExceeded):
		return staysOpen
	}
	return ends
}
