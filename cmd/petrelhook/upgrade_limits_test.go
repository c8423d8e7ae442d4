package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
)

// descriptors is how many a process has open.
func (s *sidecar) descriptors() int {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.Pid))
	if err != nil {
		s.f.t.Fatal(err)
	}
	return len(all)
}

// Clients open all connections that the process in service accepts, and go on connecting: both processes of an upgrade together stay within
// the limit of one, the successor serves all the same, and has the complete limit once its predecessor has ended.
func TestBothProcessesWithinTheDescriptors(t *testing.T) {
	const limit = 384
	f := newFleet(t, peertest.Settings)
	f.config = strings.Replace(f.config, `"sockets":384`, fmt.Sprintf(`"sockets":%d`, limit), 1)
	first := f.start()
	within := func(when string, all ...*sidecar) {
		t.Helper()
		sum := 0
		for _, s := range all {
			sum += s.descriptors()
		}
		if sum > limit {
			t.Errorf("%s: %d descriptors, of %d", when, sum, limit)
		}
	}
	crowd := func(n int) {
		for range n {
			c, err := net.Dial("tcp", f.listen)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			io.WriteString(c, "GET /half HTTP/1.1\r\n")
		}
	}
	crowd(limit)
	within("a crowd", first)
	second := f.start()
	within("an upgrade", first, second)
	crowd(limit)
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		within("a crowd in an upgrade", first, second)
	}
	first.end()
	crowd(limit)
	peertest.Eventually(t, "the second serves", func() bool {
		within("afterwards", second)
		c, in := peertest.Dial(t, f.listen)
		defer c.Close()
		c.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(c, requestKinds[0](fmt.Sprint(time.Now().UnixNano())))
		line, _ := in.ReadString('\n')
		return strings.Contains(line, " 200 ")
	})
	second.end()
}
