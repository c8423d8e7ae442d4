package sock

import (
	"net"
	"testing"
	"time"
)

// No connection is lost if a process calls Yield and then accepts the connections in its listener's queue before it closes the
// listener: new connections go to the other process. This also holds if an earlier process at the address called Yield and ended.
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
		const phases, connectionsPerPhase = 3, 40
		accepted := 0 // by the first listener, just before it is closed
		// Phase 0: both listen. Phase 1: the first has yielded. Phase 2: the first is closed.
		for phase := range phases {
			switch phase {
			case 1:
				if err := Yield(first); err != nil {
					t.Fatal(err)
				}
			case 2:
				accepted = drain(t, first)
				first.Close()
			}
			for range connectionsPerPhase {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
			}
		}
		// In round 0, the first listener must get some of the connections of phase 0: the filter that the Yield before the rounds has
		// set was removed when next started to listen.
		if acceptedByNext := drain(t, next); accepted+acceptedByNext != phases*connectionsPerPhase || round == 0 && accepted == 0 {
			t.Errorf("round %d: the first listener got %d connections and the second %d, of %d", round, accepted, acceptedByNext, phases*connectionsPerPhase)
		} else if accepted > connectionsPerPhase {
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
