package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/peertest"
)

const streamConfiguration = `{"Generation":3,"Routes":[{"Name":"r1","Host":"a.example","PathPrefix":"/x/","RouteType":"safe","TimeoutMs":2000,"Service":"s","MaxAttempts":2},
{"Name":"r2","Host":"a.example","PathPrefix":"/stream/","RouteType":"streaming","TimeoutMs":60000,"Service":"s"}],"Services":[{"Name":"s","MaxConnections":50}]}`

// engine is a model server whose streams send one event at once and a second one when the test closes proceed.
type engine struct {
	*recordedServer
	streaming, proceed chan struct{} // closed when the first stream has begun, and by the test
}

func newEngine(t *testing.T, f *fleet) *engine {
	t.Helper()
	e := &engine{recordedServer: newRecordedServer(t, f, "i1"), streaming: make(chan struct{}), proceed: make(chan struct{})}
	signalFirst := sync.OnceFunc(func() { close(e.streaming) })
	e.stream = func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "id: 1\ndata: a\n\n")
		http.NewResponseController(w).Flush()
		signalFirst()
		<-e.proceed
		io.WriteString(w, "id: 2\ndata: b\n\n")
	}
	return e
}

// newServingFleet starts a fleet with a configuration and one server, and waits until every machine routes to the server.
func newServingFleet(t *testing.T, coreMembers, others int) (*fleet, *engine) {
	t.Helper()
	f := newFleet(t, coreMembers, others)
	e := newEngine(t, f)
	require.Equal(t, http.StatusOK, f.sendOrder("/-/config/replace", 0, streamConfiguration))
	e.waitUsed(f.machines)
	return f, e
}

// restartAfterBootstrap starts a machine again with Bootstrap set to false, as the core exists since its first start.
func (m *machine) restartAfterBootstrap() {
	text, err := os.ReadFile(m.settingsPath)
	require.NoError(m.t, err)
	require.NoError(m.t, os.WriteFile(m.settingsPath, []byte(strings.Replace(string(text), "Bootstrap = true", "Bootstrap = false", 1)), 0o644))
	m.start()
}

// All processes are killed at once and restarted, one core member without its disk. Each serves with the configuration and
// the servers stored on the other disks, although no server sends heartbeats.
func TestAllAreKilledAndOneDiskIsLost(t *testing.T) {
	f, _ := newServingFleet(t, 3, 2)
	peertest.Eventually(t, "the servers are on the disks", func() bool {
		for _, m := range f.machines[:3] {
			if _, err := os.Stat(filepath.Join(m.dataDir(), "servers.cache")); err != nil {
				return false
			}
		}
		return true
	})
	for _, m := range f.machines {
		m.process.KillAndWait()
	}
	require.NoError(t, os.RemoveAll(f.machines[1].dataDir()))
	for _, m := range f.machines {
		m.restartAfterBootstrap()
	}
	for _, m := range f.machines {
		f.waitReady(m)
		code, text := f.request(m, "/x/1")
		require.Equal(t, http.StatusOK, code, text)
	}
	peertest.Eventually(t, "all three disks are in sync", func() bool {
		p := f.primary()
		return p != nil && len(f.status(p).View.InSync) == 3
	})
	code, text := f.call(http.MethodGet, "http://"+f.address(f.machines[4].ip, controlPort)+"/-/config/read", "")
	require.Equal(t, http.StatusOK, code, text)
	require.Contains(t, text, `"Generation":3`)
}

// Guards against review/2: the core was killed right after it had acknowledged a server's drain or end, and sent the server
// requests again, since only the memory of the core members had it.
func TestAnAcknowledgedEndOutlivesTheCore(t *testing.T) {
	for _, end := range []struct {
		name, call, state string
		losesDisk         bool // of one core member, as FaultTolerance permits
	}{
		{"draining", "heartbeat", "draining", false},
		{"deregistered", "deregister", "ready", false},
		{"deregistered, and a disk is lost", "deregister", "ready", true},
	} {
		t.Run(end.name, func(t *testing.T) {
			f := newFleet(t, 3, 2)
			require.Equal(t, http.StatusOK, f.sendOrder("/-/config/replace", 0, streamConfiguration))
			core := f.machines[:3]
			leaves, stays := newRecordedServer(t, f, "leaves"), newRecordedServer(t, f, "stays")
			leaves.waitUsed(f.machines)
			delayed := leaves.heartbeat("ready")
			stays.waitUsed(f.machines)
			f.waitStored(core, stays.id)
			require.Equal(t, http.StatusOK, leaves.sendHeartbeat(f.machines[4], "ready"))
			require.Equal(t, http.StatusOK, leaves.send(f.machines[4], end.call, leaves.heartbeat(end.state)))
			for _, m := range core { // all before the first is waited for
				require.NoError(t, m.process.Signal(syscall.SIGKILL))
			}
			for _, m := range core {
				m.process.KillAndWait()
			}
			if end.losesDisk {
				require.NoError(t, os.RemoveAll(core[1].dataDir()))
			}
			for _, m := range core {
				m.restartAfterBootstrap()
			}
			for _, m := range f.machines {
				f.waitReady(m)
				peertest.Eventually(t, m.ip+" uses one server, although heartbeats that were sent before the end arrive", func() bool {
					stays.sendHeartbeat(m, "ready")
					isAccepted := leaves.send(m, "heartbeat", delayed) == http.StatusOK
					return isAccepted && f.status(m).Servers["s"] == 1
				})
			}
			before := len(leaves.taken())
			for i := range 20 {
				for _, m := range f.machines {
					stays.sendHeartbeat(m, "ready")
					code, text := f.request(m, "/x/1")
					require.Equal(t, http.StatusOK, code, text)
					require.Equal(t, "stays", text, "request %d to %s", i, m.ip)
				}
			}
			require.Len(t, leaves.taken(), before)
		})
	}
}

// waitStored waits until the disks of core members have a server in their list. The list is not written again within a second.
func (f *fleet) waitStored(core []*machine, id string) {
	f.t.Helper()
	for _, m := range core {
		peertest.Eventually(f.t, "the disk of "+m.ip+" has "+id, func() bool {
			stored, err := os.ReadFile(filepath.Join(m.dataDir(), "servers.cache"))
			return err == nil && strings.Contains(string(stored), id)
		})
	}
}

// A router receives SIGTERM while a stream is in progress. It completes the stream, closes an idle connection before that,
// and rejects a request that may outlast its grace period.
func TestAnEndWhileAStreamIsOnItsWay(t *testing.T) {
	f, e := newServingFleet(t, 3, 0)
	m := f.machines[2]
	dial := func(path string, deadline int) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", f.address(m.ip, frontPort))
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id\r\nX-Request-Deadline: %d\r\nContent-Length: 0\r\n\r\n", path, deadline)
		require.NoError(t, err)
		return c, bufio.NewReader(c)
	}
	read := func(in *bufio.Reader) (*http.Response, string) {
		response, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response, string(body)
	}
	_, idle := dial("/x/1", 1000)
	_, text := read(idle)
	require.Equal(t, e.id, text)
	_, streaming := dial("/stream/1", 60000)
	<-e.streaming

	require.NoError(t, m.process.Signal(syscall.SIGTERM))
	peertest.Eventually(t, "a request that may outlast the shutdown is rejected", func() bool {
		c, in := dial("/stream/2", 60000)
		defer c.Close()
		response, err := http.ReadResponse(in, nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			return false
		}
		reason, _ := io.ReadAll(response.Body)
		return response.Close && strings.Contains(string(reason), "ends before the answer may")
	})
	_, in := dial("/x/1", 1000)
	response, text := read(in)
	require.Equal(t, e.id, text, "this request ends in time")
	require.True(t, response.Close)
	_, err := idle.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	close(e.proceed)
	_, text = read(streaming)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", text)
	require.NoError(t, <-m.process.Ended)
}
