package wiring

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/sidecar/config"
)

// maxUpdateDelay is how long a change of the list may take to arrive, from the moment at which discovery has it and can be reached.
const maxUpdateDelay = 6 * time.Second

// slowestAnswer is the longest time that discovery may take to answer if the change is to arrive within maxUpdateDelay; see package
// discovery.
const slowestAnswer = 2300 * time.Millisecond

// scriptedDiscovery is the state of a discovery whose answers a test case scripts.
type scriptedDiscovery struct {
	moveToSecondAddress func() // reloads the sidecar with the second address of discovery

	mu             sync.Mutex
	reportableFrom time.Time      // when a working discovery could first report the change
	calls          map[string]int // by address
	unreachable    bool           // dials get no answer
}

// setReportable records that a working discovery could report the change from now on.
func (d *scriptedDiscovery) setReportable() { d.setReportableFrom(time.Now()) }

// setReportableFrom records when a working discovery can first report the change. Until then dials get no answer if unreachable is set.
func (d *scriptedDiscovery) setReportableFrom(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportableFrom = t
}

// reportableFor returns for how long a working discovery could have reported the change. It is negative if it could not yet.
func (d *scriptedDiscovery) reportableFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reportableFrom.IsZero() {
		return -1
	}
	return time.Since(d.reportableFrom)
}

func (d *scriptedDiscovery) isUnreachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unreachable && time.Now().Before(d.reportableFrom)
}

// countCall counts a call to an address, and returns the number of earlier calls.
func (d *scriptedDiscovery) countCall(addr string) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n = d.calls[addr]
	d.calls[addr]++
	return n
}

// scriptedCall plays what discovery does on one connection once it has read the request.
type scriptedCall = func(*scriptedDiscovery, net.Conn)

const (
	knownGeneration   = 41 // of the list that the sidecar starts with
	changedGeneration = 42 // of the list that has to arrive in time
	olderGeneration   = 3

	okHead = "HTTP/1.1 200 OK\r\n\r\n" // of a response that lasts until the connection ends
)

// listOf returns the complete list of a generation, as a line of a response of discovery.
func listOf(generation int) string {
	return peertest.Catalog(generation, true, peertest.Instance("s", "127.0.0.1:80", "up")) + "\n"
}

// answerSlowly sends the changed list after slowestAnswer.
func answerSlowly(_ *scriptedDiscovery, conn net.Conn) {
	time.Sleep(slowestAnswer)
	io.WriteString(conn, okHead+listOf(changedGeneration))
	holdOpen(conn)
}

// neverAnswer reads the request and sends nothing.
func neverAnswer(d *scriptedDiscovery, conn net.Conn) {
	d.setReportable()
	holdOpen(conn)
}

// sendKnownList sends the list that the sidecar has, and then nothing.
func sendKnownList(d *scriptedDiscovery, conn net.Conn) {
	io.WriteString(conn, okHead+listOf(knownGeneration))
	d.setReportable()
	holdOpen(conn)
}

// sendThenHang returns a call that sends a text, which isn't the complete changed list, and then nothing.
func sendThenHang(text string) scriptedCall {
	return func(d *scriptedDiscovery, conn net.Conn) {
		d.setReportable()
		io.WriteString(conn, text)
		holdOpen(conn)
	}
}

// sendByteByByte sends the changed list so slowly that it would take minutes.
func sendByteByByte(d *scriptedDiscovery, conn net.Conn) {
	d.setReportable()
	io.WriteString(conn, okHead)
	for _, b := range []byte(listOf(changedGeneration)) {
		if _, err := conn.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// reloadThenHang reloads the sidecar with the second address of discovery, and sends nothing.
func reloadThenHang(d *scriptedDiscovery, conn net.Conn) {
	d.setReportable()
	d.moveToSecondAddress()
	holdOpen(conn)
}

func answerBusy(_ *scriptedDiscovery, conn net.Conn) {
	io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
}

// resetConnection makes the connection end with a reset once the call returns.
func resetConnection(_ *scriptedDiscovery, conn net.Conn) {
	conn.(interface{ SetLinger(int) error }).SetLinger(0)
}

// failingForAMinute returns the script of a discovery that fails each call in its first minute. If fail is nil, dials get no answer in that
// minute.
func failingForAMinute(fail scriptedCall) []scriptedCall {
	first := func(d *scriptedDiscovery, conn net.Conn) {
		d.mu.Lock()
		d.unreachable = fail == nil
		d.mu.Unlock()
		d.setReportableFrom(time.Now().Add(time.Minute))
		if fail != nil {
			fail(d, conn)
		}
	}
	later := func(d *scriptedDiscovery, conn net.Conn) {
		if d.reportableFor() < 0 {
			fail(d, conn)
			return
		}
		answerSlowly(d, conn)
	}
	return []scriptedCall{first, later}
}

// A change of the list arrives within maxUpdateDelay, whatever failed before. Each case scripts the calls of discovery and records when the
// change could first be reported. The last call of a script is repeated.
func TestChangesArriveInTime(t *testing.T) {
	headOnly := sendThenHang(okHead)
	truncatedList := sendThenHang(okHead + listOf(changedGeneration)[:40])
	olderList := sendThenHang(okHead + listOf(olderGeneration))
	for name, script := range map[string][]scriptedCall{
		"silent after a list":       {sendKnownList, answerSlowly},
		"accepted and not answered": {neverAnswer, answerSlowly},
		"not answered after failures": {answerBusy, resetConnection, answerBusy, resetConnection, answerBusy,
			neverAnswer, answerSlowly},
		"a head without a list":              {headOnly, answerSlowly},
		"a truncated list":                   {truncatedList, answerSlowly},
		"a list byte by byte":                {sendByteByByte, answerSlowly},
		"an older list":                      {sendKnownList, olderList, answerSlowly},
		"silent, then reloaded by a SIGHUP":  {sendKnownList, reloadThenHang},
		"answers 503 for a minute":           failingForAMinute(answerBusy),
		"resets connections for a minute":    failingForAMinute(resetConnection),
		"does not answer dials for a minute": failingForAMinute(nil),
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) { checkChangeArrivesInTime(t, script) })
		})
	}
}

// checkChangeArrivesInTime runs a sidecar in simulated time with a discovery that plays a script, and fails if the change arrives late.
func checkChangeArrivesInTime(t *testing.T, script []scriptedCall) {
	t.Helper()
	d := &scriptedDiscovery{calls: map[string]int{}}
	network := memnet.New(200 * time.Microsecond)
	var connections sync.WaitGroup // waited for, because the end of a connection takes time to arrive
	d.serve(t, network, "127.0.0.1:82", script, &connections)
	d.serve(t, network, "127.0.0.1:83", []scriptedCall{answerSlowly}, &connections)

	sidecar, listener := newScriptedSidecar(t, network, d)
	d.moveToSecondAddress = func() { sidecar.core.ReplaceSource(sidecar.source("127.0.0.1:83")) }
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	defer func() { cancel(); <-ended; connections.Wait() }()
	go func() { ended <- sidecar.Run(ctx, listener, nil, nil) }()

	for time.Sleep(time.Millisecond); d.reportableFor() < 0; time.Sleep(time.Millisecond) {
	}
	for sidecar.core.Stats().Generation != changedGeneration {
		if d.reportableFor() > maxUpdateDelay {
			t.Fatalf("the change has not arrived after %v", maxUpdateDelay)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("after %v", d.reportableFor().Round(10*time.Millisecond))
}

// newScriptedSidecar returns a sidecar that knows the list of knownGeneration and watches discovery at 127.0.0.1:82, and the listener for its
// clients.
func newScriptedSidecar(t *testing.T, network *memnet.Network, d *scriptedDiscovery) (*Sidecar, net.Listener) {
	t.Helper()
	cfg, err := config.Parse("test", []byte(fmt.Sprintf(
		`{"name":"n0","listen":"127.0.0.1:81","discovery":"127.0.0.1:82","seed":"1f","known":%s,"settings":%s}`,
		listOf(knownGeneration), peertest.Settings)))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := network.Listen(cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	dial := func(ctx context.Context, protocol, addr string) (net.Conn, error) {
		if d.isUnreachable() {
			<-ctx.Done()
			return nil, errors.Join(ctx.Err(), net.ErrClosed)
		}
		return network.Dial(ctx, protocol, addr)
	}
	return New(&cfg, dial, slog.New(slog.DiscardHandler)), listener
}

// serve plays a script at an address, one call per connection, until the test ends. connections counts the connections being served.
func (d *scriptedDiscovery) serve(t *testing.T, network *memnet.Network, addr string, script []scriptedCall, connections *sync.WaitGroup) {
	t.Helper()
	listener, err := network.Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { d.play(conn, addr, script) })
		}
	}()
}

// play reads the request of a connection and plays the script's next call for this address.
func (d *scriptedDiscovery) play(conn net.Conn, addr string, script []scriptedCall) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	call := script[min(d.countCall(addr), len(script)-1)]
	call(d, conn)
}

// holdOpen keeps a connection open until the other side closes it.
func holdOpen(c net.Conn) { io.Copy(io.Discard, c) }
