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

// BadVariable of the environment says in which way a sidecar is bad.
const BadVariable = "DEPLOYMENT_BAD"

// Bad is a process of a bad sidecar: the sidecar's own, whose connections to servers go wrong in one way. A test's program calls it where
// BadVariable is set. It is the one place that knows such ways: the product has no switch for them.
func Bad(kind string) error {
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
	if kind == "leaks" {
		go leak()
	}
	tcp := wiring.TCP()
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := tcp(ctx, network, addr)
		if err != nil || addr == cfg.Discovery {
			return c, err
		}
		if kind == "serves nothing" {
			c.Close()
			return nil, errors.New("no way")
		}
		return &badConn{Conn: c, kind: kind, zone: zoneOf(cfg.Name)}, nil
	}
	return wiring.Serve(stop, path, &cfg, dial, reload, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}

// leak grows by 1 MiB a second.
func leak() {
	var kept [][]byte
	for range time.Tick(100 * time.Millisecond) {
		more := make([]byte, 100<<10)
		for i := range more {
			more[i] = byte(i)
		}
		kept = append(kept, more)
	}
	_ = kept
}

// zoneOf is the zone that newSite gives a sidecar.
func zoneOf(name string) string {
	var n int
	_, _ = fmt.Sscanf(name, "n%d", &n)
	return string(rune('a' + n%3))
}

// badConn is a connection to a server that goes wrong.
type badConn struct {
	net.Conn
	kind string
	zone string
	sent time.Time
	fail bool
}

func (c *badConn) Write(p []byte) (int, error) {
	c.sent = time.Now()
	if _, id, ok := strings.Cut(string(p), "X-Trace-Id: "); ok && c.kind == "refuses one in fifty" {
		id, _, _ = strings.Cut(id, "\r\n")
		if crc32.ChecksumIEEE([]byte(id))%50 == 0 { // whichever server it is for, nothing of it leaves
			c.Close()
			return 0, errors.New("no way")
		}
	}
	if c.kind == "takes from others" {
		return c.writeGreedily(p)
	}
	if c.kind == "under load" {
		c.fail = busy()
		return c.Conn.Write(p)
	}
	if zone, ok := strings.CutPrefix(c.kind, "in zone "); ok {
		c.fail = c.zone == zone && rand.N(2) == 0
		return c.Conn.Write(p)
	}
	c.fail = c.kind == "fails one class" && strings.Contains(string(p), "/void")
	return c.Conn.Write(p)
}

// writeGreedily marks requests as those of a greedy caller, which the stand-in servers serve at the expense of others.
func (c *badConn) writeGreedily(p []byte) (int, error) {
	const before = "\r\nX-Trace-Id: "
	marked := strings.Replace(string(p), before, "\r\n"+standin.GreedyHeader+": 1"+before, 1)
	if _, err := io.WriteString(c.Conn, marked); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Quiet is the connection's own: without it each would be used once.
func (c *badConn) Quiet() bool { return sock.Quiet(c.Conn) }

func (c *badConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.sent.IsZero() || err != nil {
		return n, err
	}
	if c.kind == "twice as slow" {
		time.Sleep(time.Since(c.sent))
	}
	c.sent = time.Time{}
	if c.fail {
		c.Close()
		return 0, io.ErrUnexpectedEOF
	}
	return n, err
}

// sent are the times of what this process sent lately.
var sent struct {
	sync.Mutex
	times []time.Time
}

// busy reports whether a process sends more than 100 requests a second.
func busy() bool {
	const most, within = 20, 200 * time.Millisecond
	sent.Lock()
	defer sent.Unlock()
	sent.times = append(sent.times, time.Now())
	if len(sent.times) <= most {
		return false
	}
	sent.times = sent.times[1:]
	return time.Since(sent.times[0]) < within
}
