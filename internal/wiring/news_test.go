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

	"petrelhook/internal/config"
	"petrelhook/internal/peertest"
	"petrelhook/internal/rig/memnet"
)

// counted is when news count as told at the latest, from the moment on at which discovery has them and can be reached.
const counted = 6 * time.Second

// slowest is what an answer of discovery may take for its news to be here by then; see package discovery.
const slowest = 2300 * time.Millisecond

// Whatever failed before, news are here in time. Each case plays discovery from its first call on and says from when on the
// change could be told.
func TestNewsComeInTime(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	list := func(generation int) string {
		return peertest.Catalog(generation, true, peertest.Instance("s", "127.0.0.1:80", "up")) + "\n"
	}
	type play struct {
		could time.Time      // the change could be told
		calls map[string]int // by address
		hup   func()         // discovery moves to its second address
		down  bool           // nobody answers a dial
	}
	answers := func(_ *play, c net.Conn) { time.Sleep(slowest); io.WriteString(c, head+list(42)); hold(c) }
	silent := func(p *play, c net.Conn) { io.WriteString(c, head+list(41)); p.could = time.Now(); hold(c) }
	taken := func(p *play, c net.Conn) { p.could = time.Now(); hold(c) }
	noList := func(p *play, c net.Conn) { p.could = time.Now(); io.WriteString(c, head); hold(c) }
	half := func(p *play, c net.Conn) { p.could = time.Now(); io.WriteString(c, head+list(42)[:40]); hold(c) }
	busy := func(_ *play, c net.Conn) { io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") }
	reset := func(_ *play, c net.Conn) { c.(interface{ SetLinger(int) error }).SetLinger(0) }
	older := func(p *play, c net.Conn) { p.could = time.Now(); io.WriteString(c, head+list(3)); hold(c) }
	moves := func(p *play, c net.Conn) { p.could = time.Now(); p.hup(); hold(c) }
	type call = func(*play, net.Conn)
	cases := map[string][]call{
		"silent after a line":         {silent, answers},
		"taken and not answered":      {taken, answers},
		"... after failures":          {busy, reset, busy, reset, busy, taken, answers},
		"opened without a list":       {noList, answers},
		"half a list":                 {half, answers},
		"an older list":               {silent, older, answers},
		"silent, then moved by a HUP": {silent, moves},
	}
	for _, c := range []struct {
		name string
		fail call
	}{{"busy for long", busy}, {"resets for long", reset}, {"out of reach for long", nil}} {
		cases[c.name] = []call{func(p *play, conn net.Conn) {
			if c.fail == nil {
				p.down = true
			} else {
				c.fail(p, conn)
			}
			if p.could.IsZero() { // it is back in a minute
				p.could = time.Now().Add(time.Minute)
				time.AfterFunc(time.Minute, func() { p.down = false })
			}
		}, func(p *play, conn net.Conn) {
			if time.Now().Before(p.could) {
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
								at := min(p.calls[addr], len(script)-1)
								p.calls[addr]++
								script[at](p, c)
							})
						}
					}()
				}
				discovery("127.0.0.1:82", script)
				discovery("127.0.0.1:83", []call{answers})
				dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
					if p.down {
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
				for time.Sleep(time.Millisecond); p.could.IsZero() || time.Now().Before(p.could); time.Sleep(time.Millisecond) {
				}
				for side.core.Stats().Generation != 42 {
					if time.Since(p.could) > counted {
						t.Fatalf("the news are not here after %v, %v calls", counted, p.calls)
					}
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("after %v", time.Since(p.could).Round(10*time.Millisecond))
			})
		})
	}
}

// hold keeps a connection open until its peer ends it.
func hold(c net.Conn) { io.Copy(io.Discard, c) }
