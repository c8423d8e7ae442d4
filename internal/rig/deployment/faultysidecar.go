package deployment

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/rig/standin"
	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/wiring"
)

// FaultVariable is the environment variable that names the fault of a sidecar.
const FaultVariable = "DEPLOYMENT_FAULT"

// The faults of a sidecar.
const (
	FaultLeaks           = "leaks"                // memory, 1 MiB a second
	FaultNoConnections   = "serves nothing"       // no connection to a server is made
	FaultRejectsFiftieth = "refuses one in fifty" // a fiftieth of all requests fails at every server
	FaultGreedy          = "takes from others"    // requests are served at the expense of other sidecars
	FaultUnderLoad       = "under load"           // answers are lost above 100 requests a second
	FaultInZone          = "in zone "             // with a zone behind it: half of the answers of sidecars there is lost
	FaultOneClass        = "fails one class"      // answers of class void are lost
	FaultSlow            = "twice as slow"        // answers take twice as long
)

// errFault is the error of a connection that fails by a fault.
var errFault = errors.New("fault of the sidecar")

// RunFaultySidecar runs the sidecar in this process with one of the faults, until SIGTERM. A test's program calls it if FaultVariable is
// set. The faults are known here alone: the product has no switch for them.
func RunFaultySidecar(fault string) error {
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer release()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := os.Getenv("LB_CONFIG")
	cfg, err := config.Read(path)
	if err != nil {
		return err
	}
	if err := cfg.SetAdmin("LB_ADMIN_ADDR", os.Getenv("LB_ADMIN_ADDR")); err != nil {
		return err
	}
	if fault == FaultLeaks {
		go leakMemory()
	}
	faults := &sidecarFaults{fault: fault, zone: zoneOfSidecar(cfg.Name), discovery: cfg.Discovery}
	return wiring.Serve(stop, path, &cfg, wiring.System(faults.dial(wiring.TCP())), reload, newLogger(os.Stderr))
}

// sidecarFaults are the faults of one process of a sidecar.
type sidecarFaults struct {
	fault     string
	zone      string // of the sidecar
	discovery string // connections to it have no faults

	mu           sync.Mutex
	recentWrites []time.Time // of the last requests that the process sent
}

// dial returns a function that opens connections as another one does, with the fault.
func (f *sidecarFaults) dial(dial wiring.Dial) wiring.Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil || addr == f.discovery {
			return c, err
		}
		if f.fault == FaultNoConnections {
			c.Close()
			return nil, errFault
		}
		return &faultyConn{Conn: c, faults: f}, nil
	}
}

// leakMemory allocates 1 MiB a second, and keeps it.
func leakMemory() {
	var chunks [][]byte
	for range time.Tick(100 * time.Millisecond) {
		chunk := make([]byte, 100<<10)
		for i := range chunk {
			chunk[i] = byte(i)
		}
		chunks = append(chunks, chunk)
	}
	_ = chunks
}

// zoneOfSidecar is the zone that StartLoadTest gives a sidecar.
func zoneOfSidecar(name string) string {
	var n int
	_, _ = fmt.Sscanf(name, "n%d", &n)
	return string(rune('a' + n%3))
}

// faultyConn is a connection to a server that has a fault.
type faultyConn struct {
	net.Conn
	faults    *sidecarFaults
	lastWrite time.Time
	failRead  bool
}

// Write writes a request, and decides whether the read of its answer will fail.
func (c *faultyConn) Write(p []byte) (int, error) {
	c.lastWrite = time.Now()
	c.failRead = false
	fault := c.faults.fault
	zone, inZone := strings.CutPrefix(fault, FaultInZone)
	switch {
	case fault == FaultRejectsFiftieth && isFiftieth(p):
		c.Close()
		return 0, errFault
	case fault == FaultGreedy:
		return c.writeGreedily(p)
	case fault == FaultUnderLoad:
		c.failRead = c.faults.underLoad()
	case inZone:
		c.failRead = c.faults.zone == zone && rand.N(2) == 0
	case fault == FaultOneClass:
		c.failRead = strings.Contains(string(p), "/void")
	}
	return c.Conn.Write(p)
}

// isFiftieth reports whether a request is one of a fiftieth of all, by its trace: it is so at every server.
func isFiftieth(request []byte) bool {
	_, rest, ok := strings.Cut(string(request), "X-Trace-Id: ")
	trace, _, _ := strings.Cut(rest, "\r\n")
	return ok && crc32.ChecksumIEEE([]byte(trace))%50 == 0
}

// writeGreedily adds the header of a greedy caller, which the stand-in servers serve at the expense of others.
func (c *faultyConn) writeGreedily(p []byte) (int, error) {
	const before = "\r\nX-Trace-Id: "
	marked := strings.Replace(string(p), before, "\r\n"+standin.GreedyHeader+": 1"+before, 1)
	if _, err := io.WriteString(c.Conn, marked); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Quiet implements the interface of package sock: without it each connection would be used only once.
func (c *faultyConn) Quiet() bool { return sock.Quiet(c.Conn) }

// Read reads an answer, late or not at all.
func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.lastWrite.IsZero() || err != nil {
		return n, err
	}
	if c.faults.fault == FaultSlow {
		time.Sleep(time.Since(c.lastWrite))
	}
	c.lastWrite = time.Time{}
	if c.failRead {
		c.Close()
		return 0, io.ErrUnexpectedEOF
	}
	return n, err
}

// underLoad counts a request, and reports whether the process sends more than 100 a second.
func (f *sidecarFaults) underLoad() bool {
	const maxWrites, window = 20, 200 * time.Millisecond
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recentWrites = append(f.recentWrites, time.Now())
	if len(f.recentWrites) <= maxWrites {
		return false
	}
	f.recentWrites = f.recentWrites[1:]
	return time.Since(f.recentWrites[0]) < window
}
