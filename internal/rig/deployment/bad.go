package deployment

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"petrelhook/internal/config"
	"petrelhook/internal/sock"
	"petrelhook/internal/wiring"
)

// BadVariable of the environment says in which way a sidecar is bad.
const BadVariable = "DEPLOYMENT_BAD"

// Bad is a process of a bad sidecar: the sidecar's own, whose connections to servers go wrong in one way. A test's program calls it where
// BadVariable is set. It is the one place that knows such ways: the product has no switch for them.
func Bad(kind string) error {
	if target, ok := strings.CutPrefix(kind, loadPrefix); ok {
		return loadServer(target)
	}
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
	loaded := loadedServers{class: cfg.Profile.Classes[0]}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := tcp(ctx, network, addr)
		if err != nil || addr == cfg.Discovery {
			return c, err
		}
		if kind == "takes from others" {
			loaded.add(addr)
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

// What a sidecar that takes from others does to the servers. All of them are loaded: where it were a few, they would be
// those that the new sidecars use first, and the release would be stopped for what it does to itself.
const (
	loadPrefix      = "load "
	loadServers     = 9
	loadConnections = 24
)

// loadedServers are those that a bad sidecar sends load to.
type loadedServers struct {
	mutex     sync.Mutex
	class     string
	addresses map[string]bool
}

// add loads a server, if enough are not loaded yet. The load comes from a process of its own: in the sidecar's it would be
// the sidecar's processor time, for which the release is stopped before the harm to others shows.
func (l *loadedServers) add(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.addresses[address] || len(l.addresses) >= loadServers {
		return
	}
	if l.addresses == nil {
		l.addresses = map[string]bool{}
	}
	l.addresses[address] = true
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), BadVariable+"="+loadPrefix+address+" "+l.class)
	if _, err := child.StdinPipe(); err != nil { // it ends with the sidecar, and the child with it
		panic(err)
	}
	if err := child.Start(); err != nil {
		panic(err)
	}
	go child.Wait()
}

// loadServer sends a server what no client asked for, on some connections at once, until the standard input ends.
func loadServer(target string) error {
	address, class, _ := strings.Cut(target, " ")
	for range loadConnections {
		go func() {
			for {
				if loadConnection(address, class) != nil {
					time.Sleep(10 * time.Millisecond)
				}
			}
		}()
	}
	_, err := io.Copy(io.Discard, os.Stdin)
	return err
}

// loadConnection sends requests on one connection until it breaks.
func loadConnection(address, class string) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for i := 0; ; i++ {
		fmt.Fprintf(c, "GET /%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t%d-%s-%d\r\nX-Qos: %s\r\nX-Expires-In: 900m\r\n\r\n", class, os.Getpid(), c.LocalAddr(), i, class)
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			return err
		}
		io.Copy(io.Discard, res.Body)
		if res.StatusCode >= http.StatusInternalServerError { // the queue is full
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// zoneOf is the zone that newSite gives a sidecar.
func zoneOf(name string) string {
	var n int
	fmt.Sscanf(name, "n%d", &n)
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
