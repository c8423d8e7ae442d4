package sock

import (
	"net"
	"testing"
	"time"
)

// A process that yields and accepts what is in its queue loses no connection when it closes: new ones go to the other process. That holds
// also if an earlier process at the address had yielded and ended.
func TestYield(t *testing.T) {
	first, err := ListenShared("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := first.Addr().String()
	if err := Yield(first); err != nil { // nobody else listens
		t.Fatal(err)
	}
	for round := range 4 {
		next, err := ListenShared(addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { next.Close() })
		const phases, perPhase = 3, 40
		accepted := 0               // by the first listener, at its end
		for phase := range phases { // before, while both listen and one yields, after the close
			switch phase {
			case 1:
				if err := Yield(first); err != nil {
					t.Fatal(err)
				}
			case 2:
				accepted = drain(t, first) // those that were queued before
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
			t.Errorf("round %d: %d and %d of %d connections", round, accepted, n, phases*perPhase)
		} else if accepted > perPhase {
			t.Errorf("round %d: %d connections came to the one that yields", round, accepted)
		}
		first = next
	}
}

// drain accepts what is in a queue.
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
