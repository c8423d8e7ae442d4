package sock

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against a server that is there and is taken for a killed one because it has no room for new connections, and the other way round.
func TestAProbeTellsAFullServerFromAnEndedOne(t *testing.T) {
	for name, c := range map[string]struct {
		accept   func(net.Listener, net.Conn) // what the server does with the first connection
		presence Presence
		usable   bool
	}{
		"keeps connections":        {func(net.Listener, net.Conn) {}, Present, true},
		"speaks first":             {func(_ net.Listener, conn net.Conn) { conn.Write([]byte("x")) }, Present, false},
		"ends connections":         {func(_ net.Listener, conn net.Conn) { conn.Close() }, Present, false},
		"resets connections":       {func(_ net.Listener, conn net.Conn) { Abort(conn) }, Present, false},
		"ends after the handshake": {func(l net.Listener, conn net.Conn) { l.Close(); Abort(conn) }, Gone, false},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				if conn, err := listener.Accept(); err == nil {
					c.accept(listener, conn)
				}
			}()
			open := 0
			dial := func() (net.Conn, error) {
				conn, err := net.Dial("tcp", listener.Addr().String())
				if err == nil {
					open++
				}
				return conn, err
			}
			conn, usable, presence := Probe(dial, func(conn net.Conn) { open--; conn.Close() })
			if usable {
				defer conn.Close()
			}
			if usable != c.usable || presence != c.presence || (open == 1) != usable {
				t.Errorf("usable %v, presence %v, %d open", usable, presence, open)
			}
		})
	}
}

// Guards against a response that is broken off because this process is short of something, or its caller has gone.
func TestAFailedDialSaysWhoFailed(t *testing.T) {
	ended, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	_, timeout := (&net.Dialer{Deadline: time.Unix(1, 0)}).DialContext(t.Context(), "tcp", "127.0.0.1:9")
	for _, c := range []struct {
		err  error
		want Presence
	}{
		{&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, Gone}, {&net.OpError{Op: "dial", Err: syscall.EHOSTUNREACH}, Gone},
		{timeout, Gone}, {&net.OpError{Op: "dial", Err: syscall.ECONNRESET}, Present}, {&net.OpError{Op: "dial", Err: syscall.EMFILE}, Unknown}, {&net.OpError{Op: "dial", Err: syscall.EADDRNOTAVAIL}, Unknown},
		{errors.New("no connection is free"), Unknown}, {context.Canceled, Unknown}, {ended.Err(), Unknown},
	} {
		_, _, got := Probe(func() (net.Conn, error) { return nil, c.err }, func(net.Conn) { t.Error("nothing was opened") })
		if got != c.want {
			t.Errorf("%v: %v, want %v", c.err, got, c.want)
		}
	}
}
