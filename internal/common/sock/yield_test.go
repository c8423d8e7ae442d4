package sock

import (
	"net"
	"testing"
	"time"
)

// A process that yields, and accepts the connections in its queue before it closes its listener, loses no connection: new ones go
// to the other process. This also holds if an earlier process at the address has yielded and ended.
func TestYield(t *testing.T) {
	first, err := ListenShared("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := first.Addr().String()
	if err := Yield(first); err != nil { // no other socket listens yet
		t.Fatal(err)
	}
	for round := range 4 {
		next, err := ListenShared(addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { next.Close() })
		const phases, perPhase = 3, 40
		accepted := 0               // by the first listener, just before its close
		for phase := range phases { // both listen; both listen and the first yields; the first is closed
			switch phase {
			case 1:
				if err := Yield(first); err != nil {
					t.Fatal(err)
				}
			case 2:
				accepted = drain(t, first)
				first.Close()
			}
			for range perPhase {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
			}
		}
		if n := drain(t, next); accepted+n != phases*perPhase || round == 0 && accepted == 0 {
			t.Errorf("round %d: the first listener got %d connections and the second %d, of %d", round, accepted, n, phases*perPhase)
		} else if accepted > perPhase {
			t.Errorf("round %d: the yielding listener got %d connections, more than were opened before it yielded", round, accepted)
		}
		first = next
	}
}

// drain accepts and closes the connections in a listener's queue, and returns their number.
func drain(t *testing.T, ln net.Listener) (n int) {
	t.Helper()
	for {
		ln.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Millisecond))
		c, err := ln.Accept()
		if err != nil {
			ln.(*net.TCPListener).SetDeadline(time.Time{})
			return n
		}
		n++
		c.Close()
	}
}
