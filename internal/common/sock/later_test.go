package sock

import (
	"errors"
	"net"
	"testing"
	"time"
)

func listenTCP(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// The listener accepts connections once the address is free. Close ends an Accept that waits for the address, and one that waits
// for a connection.
func TestListenLater(t *testing.T) {
	first, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := first.Addr().String()
	if _, err := net.Listen("tcp", addr); !IsAddressInUse(err) {
		t.Errorf("error of a second listener: %v", err)
	}
	type accepted struct {
		c   net.Conn
		err error
	}
	accept := func(ln net.Listener) chan accepted {
		got := make(chan accepted, 1)
		go func() { c, err := ln.Accept(); got <- accepted{c, err} }()
		return got
	}
	waiting := ListenLater(listenTCP, addr, time.Millisecond)
	got := accept(waiting)
	waiting.Close()
	if a := <-got; !errors.Is(a.err, net.ErrClosed) {
		t.Errorf("closed while the address is in use: %v", a.err)
	}
	ln := ListenLater(listenTCP, addr, time.Millisecond)
	got = accept(ln)
	first.Close()
	for {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			defer c.Close()
			break
		}
	}
	if a := <-got; a.err != nil || ln.Addr().String() != addr {
		t.Errorf("%v at %v", a.err, ln.Addr())
	}
	got = accept(ln)
	ln.Close()
	if a := <-got; !errors.Is(a.err, net.ErrClosed) {
		t.Errorf("closed while it listens: %v", a.err)
	}
	if a := <-accept(ListenLater(listenTCP, "127.0.0.1:none", time.Millisecond)); a.err == nil {
		t.Error("an invalid address is accepted")
	}
}
