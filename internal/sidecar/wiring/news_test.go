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
	"testing/synctest"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/sidecar/config"
)

// maxUpdateDelay is how long a change of the list may take to arrive, from the moment on at which discovery has it and can be reached.
const maxUpdateDelay = 6 * time.Second

// slowestAnswer is how long discovery may take to answer for its change to arrive in that time; see package discovery.
const slowestAnswer = 2300 * time.Millisecond

// scriptedDiscovery is the state of discovery in a case of the test, which scripts its answers.
type scriptedDiscovery struct {
	move func() // reloads the sidecar with the second address of discovery

	mu            sync.Mutex
	reachableFrom time.Time      // from when on the change could be reported
	calls         map[string]int // by address
	unreachable   bool           // dials get no answer
}

// setReachable notes that a working discovery could report the change from now on.
func (d *scriptedDiscovery) setReachable() { d.setReachableFrom(time.Now()) }

// setReachableFrom notes from when on it could. Until then dials get no answer where unreachable is set.
func (d *scriptedDiscovery) setReachableFrom(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reachableFrom = t
}

// reachableFor is for how long it could have; below 0: it could not yet.
func (d *scriptedDiscovery) reachableFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reachableFrom.IsZero() {
		return -1
	}
	return time.Since(d.reachableFrom)
}

func (d *scriptedDiscovery) isUnreachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unreachable && time.Now().Before(d.reachableFrom)
}

// countCall counts a call to an address, and returns how many there were before.
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

	okHead = "HTTP/1.1 200 OK\r\n\r\n" // what follows lasts until the connection ends
)

// listOf is the complete list of a generation, as a line of a response of discovery.
func listOf(generation int) string {
	return peertest.Catalog(generation, true, peertest.Instance("s", "127.0.0.1:80", "up")) + "\n"
}

// answerSlowly sends the changed list as late as discovery may.
func answerSlowly(_ *scriptedDiscovery, conn net.Conn) {
	time.Sleep(slowestAnswer)
	io.WriteString(conn, okHead+listOf(changedGeneration))
	holdOpen(conn)
}

// neverAnswer reads the request and sends nothing.
func neverAnswer(d *scriptedDiscovery, conn net.Conn) {
	d.setReachable()
	holdOpen(conn)
}

// sendKnownList sends the list that the sidecar has, and then nothing.
func sendKnownList(d *scriptedDiscovery, conn net.Conn) {
	io.WriteString(conn, okHead+listOf(knownGeneration))
	d.setReachable()
	holdOpen(conn)
}

// sendThenHang sends a text, which isn't the changed list, and then nothing.
func sendThenHang(text string) scriptedCall {
	return func(d *scriptedDiscovery, conn net.Conn) {
		d.setReachable()
		io.WriteString(conn, text)
		holdOpen(conn)
	}
}

// sendByteByByte sends the changed list at a pace at which it would take minutes.
func sendByteByByte(d *scriptedDiscovery, conn net.Conn) {
	d.setReachable()
	io.WriteString(conn, okHead)
	for _, b := range []byte(listOf(changedGeneration)) {
		if _, err := conn.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// reloadThenHang moves the sidecar to the second address of discovery, and answers nothing.
func reloadThenHang(d *scriptedDiscovery, conn net.Conn) {
	d.setReachable()
	d.move()
	holdOpen(conn)
}

func answerBusy(_ *scriptedDiscovery, conn net.Conn) {
	io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
}

// resetConnection has the connection end with a reset, as soon as the call returns.
func resetConnection(_ *scriptedDiscovery, conn net.Conn) {
	conn.(interface{ SetLinger(int) error }).SetLinger(0)
}

// failingForAMinute is the script of a discovery that fails each call of its first minute. Where fail is nil, dials get no answer in that time.
func failingForAMinute(fail scriptedCall) []scriptedCall {
	first := func(d *scriptedDiscovery, conn net.Conn) {
		d.mu.Lock()
		d.unreachable = fail == nil
		d.mu.Unlock()
		d.setReachableFrom(time.Now().Add(time.Minute))
		if fail != nil {
			fail(d, conn)
		}
	}
	later := func(d *scriptedDiscovery, conn net.Conn) {
		if d.reachableFor() < 0 {
			fail(d, conn)
			return
		}
		answerSlowly(d, conn)
	}
	return []scriptedCall{first, later}
}

// Whatever failed before, a change of the list arrives in time. Each case scripts discovery from its first call on, and notes from when on
// the change could be reported. The last call of a script is repeated.
func TestChangesArriveInTime(t *testing.T) {
	noList := sendThenHang(okHead)
	halfAList := sendThenHang(okHead + listOf(changedGeneration)[:40])
	olderList := sendThenHang(okHead + listOf(olderGeneration))
	for name, script := range map[string][]scriptedCall{
		"silent after a line":    {sendKnownList, answerSlowly},
		"taken and not answered": {neverAnswer, answerSlowly},
		"... after failures": {answerBusy, resetConnection, answerBusy, resetConnection, answerBusy,
			neverAnswer, answerSlowly},
		"opened without a list":       {noList, answerSlowly},
		"half a list":                 {halfAList, answerSlowly},
		"a list in drops":             {sendByteByByte, answerSlowly},
		"an older list":               {sendKnownList, olderList, answerSlowly},
		"silent, then moved by a HUP": {sendKnownList, reloadThenHang},
		"busy for long":               failingForAMinute(answerBusy),
		"resets for long":             failingForAMinute(resetConnection),
		"out of reach for long":       failingForAMinute(nil),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkChangeArrivesInTime(t, script) })
		})
	}
}

// checkChangeArrivesInTime runs a sidecar, in simulated time, against a discovery that plays a script.
func checkChangeArrivesInTime(t *testing.T, script []scriptedCall) {
	t.Helper()
	d := &scriptedDiscovery{calls: map[string]int{}}
	network := memnet.New(200 * time.Microsecond)
	var played sync.WaitGroup // the end of a connection takes time to arrive
	d.serve(t, network, "127.0.0.1:82", script, &played)
	d.serve(t, network, "127.0.0.1:83", []scriptedCall{answerSlowly}, &played)

	sidecar, listener := newScriptedSidecar(t, network, d)
	d.move = func() { sidecar.core.Replace(sidecar.source("127.0.0.1:83")) }
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	defer func() { cancel(); <-ended; played.Wait() }()
	go func() { ended <- sidecar.Run(ctx, listener, nil, nil) }()

	for time.Sleep(time.Millisecond); d.reachableFor() < 0; time.Sleep(time.Millisecond) {
	}
	for sidecar.core.Stats().Generation != changedGeneration {
		if d.reachableFor() > maxUpdateDelay {
			t.Fatalf("the change has not arrived after %v", maxUpdateDelay)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("after %v", d.reachableFor().Round(10*time.Millisecond))
}

// newScriptedSidecar is a sidecar that knows the list of knownGeneration and watches discovery at 127.0.0.1:82, and the listener to run it on.
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

// serve plays a script at an address, one call of it a connection, until the test ends. Each connection that is served counts in played.
func (d *scriptedDiscovery) serve(t *testing.T, network *memnet.Network, addr string, script []scriptedCall, played *sync.WaitGroup) {
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
			played.Go(func() { d.play(conn, addr, script) })
		}
	}()
}

// play reads the request of a connection, and plays the call that is due at this address.
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
