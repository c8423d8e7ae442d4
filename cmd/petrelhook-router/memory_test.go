//go:build !race

package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/process"
)

// The limits of a machine of the smallest deployment, and those of its configuration.
const (
	limitedMemoryMb    = 244
	limitedDescriptors = 3900
	limitedHeadBytes   = 16384
	limitedEventBytes  = 1200
	maxReadHeadBytes   = 256 << 10 // net/http reads no longer head
)

const crowdConfiguration = `{"Generation":1,"Routes":[
{"Name":"r1","Host":"a.example","PathPrefix":"/x/","RouteType":"unsafe","TimeoutMs":15000,"Service":"s","MaxAttempts":1},
{"Name":"r2","Host":"a.example","PathPrefix":"/stream/","RouteType":"streaming","TimeoutMs":15000,"Service":"s","MaxAttempts":1}],
"Services":[{"Name":"s","MaxConnections":3000}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// crowd is a router with the limits of a small machine, and clients that come together.
type crowd struct {
	*fleet
	*machine
	t     *testing.T
	conns []net.Conn
}

// newCrowd starts a router that serves, and a server which holds every request and stream.
func newCrowd(t *testing.T, network string) *crowd {
	t.Helper()
	f := startFleet(t, fleetOptions{coreMembers: 3, network: network, heartbeatInterval: time.Second, stopped: true})
	m := f.machines[0]
	text, err := os.ReadFile(m.settingsPath)
	require.NoError(t, err)
	limits := fmt.Sprintf("[Limits]\nMemoryMb = %d\nMaxFds = %d\n[Listen]", limitedMemoryMb, limitedDescriptors)
	require.NoError(t, os.WriteFile(m.settingsPath, []byte(strings.Replace(string(text), "[Listen]", limits, 1)), 0o600))
	cmd := m.command()
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d,%d", limitsVariable, limitedDescriptors, noLimit))
	m.process = process.Start(t, cmd)
	for _, other := range f.machines[1:] {
		other.start()
	}
	c := &crowd{fleet: f, machine: m, t: t}
	require.Equal(t, http.StatusOK, f.sendOrder("/-/config/replace", 0, crowdConfiguration))
	c.startServer()
	f.waitReady(m)
	return c
}

// startServer starts a server that answers the first request, begins to answer streams, and holds everything else.
func (c *crowd) startServer() {
	server := newRecordedServer(c.t, c.fleet, "i1")
	released := make(chan struct{})
	c.t.Cleanup(func() { close(released) })
	event := "data: " + strings.Repeat("x", limitedEventBytes) + "\n\n"
	server.stream = func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte(event))
		_ = http.NewResponseController(w).Flush()
		<-released
	}
	heartbeat := func() int {
		return server.send(c.machine, "heartbeat", fmt.Sprintf(`{"Service":"s","Address":%q,"Zone":"zone-0","Slots":3000,"State":"ready","Sequence":%d}`,
			server.Listener.Addr().String(), time.Now().UnixMicro()))
	}
	peertest.Eventually(c.t, "the router knows the server", func() bool { return heartbeat() == http.StatusOK && c.status(c.machine).Servers["s"] == 1 })
}

// open opens connections and writes a text on each, many at a time.
func (c *crowd) open(count int, text string) {
	c.t.Helper()
	const writers = 64
	conns := make([]net.Conn, count)
	var tasks sync.WaitGroup
	for writer := range writers {
		tasks.Go(func() {
			for i := writer; i < count; i += writers {
				conn, err := net.Dial("tcp", c.address(c.ip, frontPort))
				if err != nil {
					c.t.Error(err)
					return
				}
				_, _ = conn.Write([]byte(text)) // the router may close the connection
				conns[i] = conn
			}
		})
	}
	tasks.Wait()
	c.conns = append(c.conns, conns...)
	c.t.Cleanup(func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close() // the test is over
			}
		}
	})
}

// peakMb returns the largest resident memory that the router has had, in MB.
func (c *crowd) peakMb() int {
	c.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.process.Pid))
	require.NoError(c.t, err)
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(c.t, err)
	return kilobytes >> 10
}

// requestHead returns a head of a size in bytes.
func requestHead(path string, size, bodyBytes int) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id\r\nX-Request-Deadline: 15000\r\nContent-Length: %d\r\nX-Long: ", path, bodyBytes)
	return head + strings.Repeat("h", max(0, size-len(head)-4)) + "\r\n\r\n"
}

// waitRead waits until the router has read everything that its clients have sent, or has closed their connections.
func (c *crowd) waitRead() {
	c.t.Helper()
	local := hexAddress(c.t, c.address(c.ip, frontPort))
	peertest.Eventually(c.t, "the router has read everything", func() bool {
		text, err := os.ReadFile("/proc/net/tcp")
		require.NoError(c.t, err)
		for line := range strings.Lines(string(text)) {
			fields := strings.Fields(line) // number, local and remote address, state, queues
			if fields[1] == local && fields[3] == "01" && !strings.HasSuffix(fields[4], ":00000000") {
				return false
			}
		}
		return true
	})
}

// hexAddress returns an address in the form of /proc/net/tcp.
func hexAddress(t *testing.T, address string) string {
	t.Helper()
	addr, err := netip.ParseAddrPort(address)
	require.NoError(t, err)
	ip := addr.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip[:]), addr.Port())
}

// Clients that come together must not take a router over its memory limit.
func TestManyClientsTakeNoRouterOverItsMemoryLimit(t *testing.T) {
	allowed, overlong := limitedHeadBytes-512, maxReadHeadBytes-4096
	withoutEnd := func(head string) string { return strings.TrimSuffix(head, "\r\n\r\n") }
	for i, test := range []struct {
		name    string
		clients int
		text    string
	}{
		{"heads that are not complete", 3500, withoutEnd(requestHead("/x/1", allowed, 0))},
		{"requests that wait", 3500, requestHead("/x/1", allowed, 4) + "body"},
		{"streams", 1800, requestHead("/stream/1", allowed, 4) + "body"},
		{"overlong heads", 3000, withoutEnd(requestHead("/x/1", overlong, 0))},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCrowd(t, fmt.Sprint("127.9.3", i))
			c.open(test.clients, test.text)
			c.waitRead()
			t.Logf("peak %d MB", c.peakMb())
			require.Less(t, c.peakMb(), limitedMemoryMb)
			require.Empty(t, c.process.Ended)
		})
	}
}
