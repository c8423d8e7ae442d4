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
func (p *scriptedDiscovery) setReachable() { p.setReachableFrom(time.Now()) }

// setReachableFrom notes from when on it could. Until then dials get no answer where unreachable is set.
func (p *scriptedDiscovery) setReachableFrom(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachableFrom = t
}

// reachableFor is for how long it could have; below 0: it could not yet.
func (p *scriptedDiscovery) reachableFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reachableFrom.IsZero() {
		return -1
	}
	return time.Since(p.reachableFrom)
}

func (p *scriptedDiscovery) isUnreachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unreachable && time.Now().Before(p.reachableFrom)
}

// countCall counts a call to an address, and returns how many there were before.
func (p *scriptedDiscovery) countCall(addr string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n = p.calls[addr]
	p.calls[addr]++
	return n
}

// Whatever failed before, a change of the list arrives in time. Each case scripts discovery from its first call on, and notes from when on
// the change could be reported.
func TestChangesArriveInTime(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	list := func(generation int) string {
		return peertest.Catalog(generation, true, peertest.Instance("s", "127.0.0.1:80", "up")) + "\n"
	}
	answers := func(_ *scriptedDiscovery, c net.Conn) {
		time.Sleep(slowestAnswer)
		io.WriteString(c, head+list(42))
		holdOpen(c)
	}
	silent := func(p *scriptedDiscovery, c net.Conn) {
		io.WriteString(c, head+list(41))
		p.setReachable()
		holdOpen(c)
	}
	taken := func(p *scriptedDiscovery, c net.Conn) { p.setReachable(); holdOpen(c) }
	noList := func(p *scriptedDiscovery, c net.Conn) { p.setReachable(); io.WriteString(c, head); holdOpen(c) }
	half := func(p *scriptedDiscovery, c net.Conn) {
		p.setReachable()
		io.WriteString(c, head+list(42)[:40])
		holdOpen(c)
	}
	busy := func(_ *scriptedDiscovery, c net.Conn) {
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	}
	reset := func(_ *scriptedDiscovery, c net.Conn) { c.(interface{ SetLinger(int) error }).SetLinger(0) }
	older := func(p *scriptedDiscovery, c net.Conn) { p.setReachable(); io.WriteString(c, head+list(3)); holdOpen(c) }
	drops := func(p *scriptedDiscovery, c net.Conn) { // it would take minutes
		p.setReachable()
		io.WriteString(c, head)
		for _, b := range []byte(list(42)) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
	}
	moves := func(p *scriptedDiscovery, c net.Conn) { p.setReachable(); p.move(); holdOpen(c) }
	type call = func(*scriptedDiscovery, net.Conn)
	cases := map[string][]call{
		"silent after a line":         {silent, answers},
		"taken and not answered":      {taken, answers},
		"... after failures":          {busy, reset, busy, reset, busy, taken, answers},
		"opened without a list":       {noList, answers},
		"half a list":                 {half, answers},
		"a list in drops":             {drops, answers},
		"an older list":               {silent, older, answers},
		"silent, then moved by a HUP": {silent, moves},
	}
	for _, c := range []struct {
		name string
		fail call
	}{{"busy for long", busy}, {"resets for long", reset}, {"out of reach for long", nil}} {
		cases[c.name] = []call{func(p *scriptedDiscovery, conn net.Conn) {
			p.mu.Lock()
			p.unreachable = c.fail == nil
			p.mu.Unlock()
			p.setReachableFrom(time.Now().Add(time.Minute)) // it is back in a minute
			if c.fail != nil {
				c.fail(p, conn)
			}
		}, func(p *scriptedDiscovery, conn net.Conn) {
			if p.reachableFor() < 0 {
				c.fail(p, conn)
				return
			}
			answers(p, conn)
		}}
	}
	for name, script := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &scriptedDiscovery{calls: map[string]int{}}
				n := memnet.New(200 * time.Microsecond)
				var played sync.WaitGroup // the end of a connection takes time to arrive
				discovery := func(addr string, script []call) {
					ln, err := n.Listen(addr)
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(func() { ln.Close() })
					go func() {
						for {
							c, err := ln.Accept()
							if err != nil {
								return
							}
							played.Go(func() {
								defer c.Close()
								if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
									return
								}
								script[min(p.countCall(addr), len(script)-1)](p, c)
							})
						}
					}()
				}
				discovery("127.0.0.1:82", script)
				discovery("127.0.0.1:83", []call{answers})
				dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
					if p.isUnreachable() {
						<-ctx.Done()
						return nil, errors.Join(ctx.Err(), net.ErrClosed)
					}
					return n.Dial(ctx, network, addr)
				}
				cfg, err := config.Parse("test", []byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:81","discovery":"127.0.0.1:82","seed":"1f","known":%s,"settings":%s}`,
					list(41), peertest.Settings)))
				if err != nil {
					t.Fatal(err)
				}
				ln, err := n.Listen(cfg.Listen)
				if err != nil {
					t.Fatal(err)
				}
				side, ended := New(&cfg, dial, slog.New(slog.DiscardHandler)), make(chan error, 1)
				p.move = func() { side.core.Replace(side.source("127.0.0.1:83")) }
				stop, end := context.WithCancel(t.Context())
				defer func() { end(); <-ended; played.Wait() }()
				go func() { ended <- side.Run(stop, ln, nil, nil) }()
				for time.Sleep(time.Millisecond); p.reachableFor() < 0; time.Sleep(time.Millisecond) {
				}
				for side.core.Stats().Generation != 42 {
					if p.reachableFor() > maxUpdateDelay {
						t.Fatalf("the change has not arrived after %v", maxUpdateDelay)
					}
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("after %v", p.reachableFor().Round(10*time.Millisecond))
			})
		})
	}
}

// holdOpen keeps a connection open until the other side closes it.
func holdOpen(c net.Conn) { io.Copy(io.Discard, c) }
