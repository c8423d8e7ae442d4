package deployment

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
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
const FaultVariable = "DEPLOYMENT_BAD"

// RunFaultySidecar runs the sidecar in this process with connections to servers that have one fault. A test's program calls it if
// FaultVariable is set. The faults are known here alone: the product has no switch for them.
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
	if fault == "leaks" {
		go leakMemory()
	}
	tcp := wiring.TCP()
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := tcp(ctx, network, addr)
		if err != nil || addr == cfg.Discovery {
			return c, err
		}
		if fault == "serves nothing" {
			c.Close()
			return nil, errors.New("no way")
		}
		return &faultyConn{Conn: c, fault: fault, zone: zoneOfSidecar(cfg.Name)}, nil
	}
	return wiring.Serve(stop, path, &cfg, dial, reload, slog.New(slog.NewTextHandler(os.Stderr, nil)))
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

// zoneOfSidecar is the zone that StartSite gives a sidecar.
func zoneOfSidecar(name string) string {
	var n int
	_, _ = fmt.Sscanf(name, "n%d", &n)
	return string(rune('a' + n%3))
}

// faultyConn is a connection to a server that has a fault.
type faultyConn struct {
	net.Conn
	fault     string
	zone      string
	lastWrite time.Time
	failRead  bool
}

func (c *faultyConn) Write(p []byte) (int, error) {
	c.lastWrite = time.Now()
	if _, id, ok := strings.Cut(string(p), "X-Trace-Id: "); ok && c.fault == "refuses one in fifty" {
		id, _, _ = strings.Cut(id, "\r\n")
		if crc32.ChecksumIEEE([]byte(id))%50 == 0 { // it fails at every server, and nothing of it is sent
			c.Close()
			return 0, errors.New("no way")
		}
	}
	if c.fault == "takes from others" {
		return c.writeGreedily(p)
	}
	if c.fault == "under load" {
		c.failRead = underLoad()
		return c.Conn.Write(p)
	}
	if zone, ok := strings.CutPrefix(c.fault, "in zone "); ok {
		c.failRead = c.zone == zone && rand.N(2) == 0
		return c.Conn.Write(p)
	}
	c.failRead = c.fault == "fails one class" && strings.Contains(string(p), "/void")
	return c.Conn.Write(p)
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

func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.lastWrite.IsZero() || err != nil {
		return n, err
	}
	if c.fault == "twice as slow" {
		time.Sleep(time.Since(c.lastWrite))
	}
	c.lastWrite = time.Time{}
	if c.failRead {
		c.Close()
		return 0, io.ErrUnexpectedEOF
	}
	return n, err
}

// recentWrites are the times of the last requests that this process sent.
var recentWrites struct {
	sync.Mutex
	times []time.Time
}

// underLoad counts a request, and reports whether this process sends more than 100 a second.
func underLoad() bool {
	const maxWrites, window = 20, 200 * time.Millisecond
	recentWrites.Lock()
	defer recentWrites.Unlock()
	recentWrites.times = append(recentWrites.times, time.Now())
	if len(recentWrites.times) <= maxWrites {
		return false
	}
	recentWrites.times = recentWrites.times[1:]
	return time.Since(recentWrites.times[0]) < window
}
