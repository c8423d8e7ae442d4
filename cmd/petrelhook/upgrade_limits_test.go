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

// descriptors returns the number of open file descriptors of a process.
func (s *sidecar) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.Pid))
	if err != nil {
		s.f.t.Fatal(err)
	}
	return len(entries)
}

// Clients open all connections that the process in service accepts, and continue to connect during an upgrade. Both processes together stay
// within the descriptor limit of one, the successor still serves, and it has the complete limit once its predecessor has ended.
func TestUpgradeStaysWithinTheDescriptorLimit(t *testing.T) {
	const limit = 384
	f := newFleet(t, peertest.Settings)
	f.config = strings.Replace(f.config, `"sockets":384`, fmt.Sprintf(`"sockets":%d`, limit), 1)
	first := f.start()
	checkDescriptors := func(when string, processes ...*sidecar) {
		t.Helper()
		sum := 0
		for _, s := range processes {
			sum += s.descriptors()
		}
		if sum > limit {
			t.Errorf("%s: %d descriptors, of %d", when, sum, limit)
		}
	}
	connectClients := func(n int) {
		for range n {
			c, err := net.Dial("tcp", f.listen)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			io.WriteString(c, "GET /half HTTP/1.1\r\n")
		}
	}
	connectClients(limit)
	checkDescriptors("many clients", first)
	second := f.start()
	checkDescriptors("an upgrade", first, second)
	connectClients(limit)
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		checkDescriptors("many clients during an upgrade", first, second)
	}
	first.end()
	connectClients(limit)
	peertest.Eventually(t, "the second serves", func() bool {
		checkDescriptors("afterwards", second)
		c, in := peertest.Dial(t, f.listen)
		defer c.Close()
		c.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(c, requestKinds[0](fmt.Sprint(time.Now().UnixNano())))
		line, _ := in.ReadString('\n')
		return strings.Contains(line, " 200 ")
	})
	second.end()
}
