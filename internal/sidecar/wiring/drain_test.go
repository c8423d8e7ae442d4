package wiring

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/lifecycle"
)

// An evacuation begins while two responses are relayed, whose heads were written before and keep their connections open. One response ends
// just before 4 s and its client sends a request at once: that is served, and ends the connection. The other client sends nothing more, and
// its connection is closed before 4 s.
func TestTheLastMomentOfADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(200 * time.Microsecond)
		servers, err := n.Listen("127.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		var out time.Time // when clients were sent away
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			until, err := time.ParseDuration(req.Header.Get("X-Trace-Id"))
			if err != nil {
				io.WriteString(w, "hi")
				return
			}
			w.Header().Set("Content-Length", "600000")
			w.Write(make([]byte, 300_000))
			http.NewResponseController(w).Flush()
			for sent := 0; sent < 300_000; sent += 30_000 { // a pace that is served
				time.Sleep((until + time.Second) / 10) // begun 1 s before
				w.Write(make([]byte, 30_000))
				http.NewResponseController(w).Flush()
			}
		})}
		go server.Serve(servers)
		defer server.Close()

		cfg, err := config.Parse("test", []byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:81","discovery":"127.0.0.1:82","seed":"1f","known":%s,"settings":%s}`,
			catalogOf([]string{"127.0.0.1:80"}), peertest.Settings)))
		if err != nil {
			t.Fatal(err)
		}
		ln, err := n.Listen(cfg.Listen)
		if err != nil {
			t.Fatal(err)
		}
		side, ended := New(&cfg, n.Dial, slog.New(slog.DiscardHandler)), make(chan error, 1)
		stop, end := context.WithCancel(t.Context())
		defer func() { end(); <-ended }()
		go func() { ended <- side.Run(stop, ln, nil, nil) }()
		synctest.Wait()

		type conn struct {
			net.Conn
			in *bufio.Reader
		}
		stream := func(trace string) (c conn, resp *http.Response) {
			nc, err := n.Dial(t.Context(), "tcp", cfg.Listen)
			if err != nil {
				t.Fatal(err)
			}
			c = conn{nc, bufio.NewReader(nc)}
			io.WriteString(c, lookRequest(trace))
			if resp, err = http.ReadResponse(c.in, nil); err != nil || resp.Close {
				t.Fatalf("%v, %v", resp, err)
			}
			return c, resp
		}
		began := time.Now()
		asks, asksResp := stream("3870ms")
		quiet, quietResp := stream("3860ms")
		defer asks.Close()
		defer quiet.Close()
		time.Sleep(time.Second - time.Since(began))
		side.lifecycle.Apply(lifecycle.Evacuate)
		out = time.Now()
		gone := make(chan time.Duration, 1)
		go func() {
			io.Copy(io.Discard, quietResp.Body)
			quiet.in.ReadByte()
			gone <- time.Since(out)
		}()
		if got, err := io.Copy(io.Discard, asksResp.Body); err != nil || got != 600_000 || time.Since(out) < 3800*time.Millisecond {
			t.Fatalf("%d bytes, %v after %v", got, err, time.Since(out))
		}
		io.WriteString(asks, lookRequest("again"))
		if resp, err := http.ReadResponse(asks.in, nil); err != nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("a request after %v: %v, %v", time.Since(out), resp, err)
		}
		if after := <-gone; after < 3800*time.Millisecond || after >= 4*time.Second {
			t.Errorf("a connection without a request is closed after %v", after)
		}
		time.Sleep(4*time.Second - time.Since(out))
		if now := side.lifecycle.Status().State(); now != lifecycle.Evacuated || side.front.OpenConnections() != 0 {
			t.Errorf("at 4 s: %v, %d open", now, side.front.OpenConnections())
		}
	})
}
