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

// counted is when news count as told at the latest, from the moment on at which discovery has them and can be reached.
const counted = 6 * time.Second

// slowest is what an answer of discovery may take for its news to be here by then; see package discovery.
const slowest = 2300 * time.Millisecond

// play is discovery as a case plays it.
type play struct {
	hup func() // it moves to its second address

	mu    sync.Mutex
	could time.Time      // from when on the change could be told
	calls map[string]int // by address
	down  bool           // nobody answers a dial
}

// now: the change could be told from here on.
func (p *play) now() { p.from(time.Now()) }

// from says from when on the change could be told; until then nobody answers a dial where down is true.
func (p *play) from(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.could = t
}

// since is for how long the change could have been told; below 0: it could not.
func (p *play) since() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.could.IsZero() {
		return -1
	}
	return time.Since(p.could)
}

func (p *play) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down && time.Now().Before(p.could)
}

// call counts a call to an address.
func (p *play) call(addr string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n = p.calls[addr]
	p.calls[addr]++
	return n
}

// Whatever failed before, news are here in time. Each case plays discovery from its first call on and says from when on the
// change could be told.
func TestNewsComeInTime(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	list := func(generation int) string {
		return peertest.Catalog(generation, true, peertest.Instance("s", "127.0.0.1:80", "up")) + "\n"
	}
	answers := func(_ *play, c net.Conn) { time.Sleep(slowest); io.WriteString(c, head+list(42)); hold(c) }
	silent := func(p *play, c net.Conn) { io.WriteString(c, head+list(41)); p.now(); hold(c) }
	taken := func(p *play, c net.Conn) { p.now(); hold(c) }
	noList := func(p *play, c net.Conn) { p.now(); io.WriteString(c, head); hold(c) }
	half := func(p *play, c net.Conn) { p.now(); io.WriteString(c, head+list(42)[:40]); hold(c) }
	busy := func(_ *play, c net.Conn) { io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") }
	reset := func(_ *play, c net.Conn) { c.(interface{ SetLinger(int) error }).SetLinger(0) }
	older := func(p *play, c net.Conn) { p.now(); io.WriteString(c, head+list(3)); hold(c) }
	drops := func(p *play, c net.Conn) { // it would take minutes
		p.now()
		io.WriteString(c, head)
		for _, b := range []byte(list(42)) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
	}
	moves := func(p *play, c net.Conn) { p.now(); p.hup(); hold(c) }
	type call = func(*play, net.Conn)
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
		cases[c.name] = []call{func(p *play, conn net.Conn) {
			p.mu.Lock()
			p.down = c.fail == nil
			p.mu.Unlock()
			p.from(time.Now().Add(time.Minute)) // it is back in a minute
			if c.fail != nil {
				c.fail(p, conn)
			}
		}, func(p *play, conn net.Conn) {
			if p.since() < 0 {
				c.fail(p, conn)
				return
			}
			answers(p, conn)
		}}
	}
	for name, script := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &play{calls: map[string]int{}}
				n := memnet.New(200 * time.Microsecond)
				var played sync.WaitGroup // an end of a connection takes time to arrive
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
								script[min(p.call(addr), len(script)-1)](p, c)
							})
						}
					}()
				}
				discovery("127.0.0.1:82", script)
				discovery("127.0.0.1:83", []call{answers})
				dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
					if p.isDown() {
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
				p.hup = func() { side.core.Replace(side.source("127.0.0.1:83")) }
				stop, end := context.WithCancel(t.Context())
				defer func() { end(); <-ended; played.Wait() }()
				go func() { ended <- side.Run(stop, ln, nil, nil) }()
				for time.Sleep(time.Millisecond); p.since() < 0; time.Sleep(time.Millisecond) {
				}
				for side.core.Stats().Generation != 42 {
					if p.since() > counted {
						t.Fatalf("the news are not here after %v", counted)
					}
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("after %v", p.since().Round(10*time.Millisecond))
			})
		})
	}
}

// hold keeps a connection open until its peer ends it.
func hold(c net.Conn) { io.Copy(io.Discard, c) }
