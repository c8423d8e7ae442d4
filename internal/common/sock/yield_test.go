package sock

import (
	"net"
	"testing"
	"time"
)

// A process that yields loses nothing of its queue when it closes: what comes after that goes to the other, also where a
// process before it had yielded and gone.
func TestYield(t *testing.T) {
	first, err := ListenShared("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := first.Addr().String()
	if err := Yield(first); err != nil { // nobody beside it
		t.Fatal(err)
	}
	for round := range 4 {
		next, err := ListenShared(addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { next.Close() })
		var dialed [3]int
		for phase := range dialed { // before, while both listen and one yields, after the close
			switch phase {
			case 1:
				if err := Yield(first); err != nil {
					t.Fatal(err)
				}
			case 2:
				dialed[0] = drain(t, first) // the queue of before
				first.Close()
			}
			for range 40 {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
			}
		}
		if n := drain(t, next); dialed[0]+n != 120 || round == 0 && dialed[0] == 0 {
			t.Errorf("round %d: %d and %d of 120 connections", round, dialed[0], n)
		} else if dialed[0] > 40 {
			t.Errorf("round %d: %d connections came to the one that yields", round, dialed[0])
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
