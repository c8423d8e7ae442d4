package wiring

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/sidecar/config"
)

// runInMemory runs a test in virtual time with a complete sidecar on an in-memory network. The server at 127.0.0.1:80 never answers. The test
// plays the clients, and its argument stop terminates the sidecar.
func runInMemory(t *testing.T, known string, test func(t *testing.T, n *memnet.Network, listen string, stop func(), ended <-chan error)) {
	bubble.Test(t, func(t *testing.T) {
		n := memnet.New(200 * time.Microsecond)
		serverListener, err := n.Listen("127.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		var serverTasks sync.WaitGroup
		defer serverTasks.Wait()
		defer serverListener.Close()
		serverTasks.Go(func() {
			for {
				c, err := serverListener.Accept()
				if err != nil {
					return
				}
				serverTasks.Go(func() { holdOpen(c); c.Close() })
			}
		})
		cfg, err := config.Parse("test", []byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:81","discovery":"127.0.0.1:82","seed":"1f","known":%s,"settings":%s}`,
			known, peertest.Settings)))
		if err != nil {
			t.Fatal(err)
		}
		ln, err := n.Listen(cfg.Listen)
		if err != nil {
			t.Fatal(err)
		}
		sidecar, ended := New(&cfg, n.Dial, slog.New(slog.DiscardHandler)), make(chan error, 1)
		stop, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			ended <- sidecar.Run(stop, ln, nil, nil)
		}()
		synctest.Wait()
		test(t, n, cfg.Listen, cancel, ended)
		cancel()
		<-done
		time.Sleep(time.Second) // so that the last close arrives at the other side
	})
}

// Connections are accepted until 0.6 s after SIGTERM, and their clients may send the first request up to 0.2 s later. Even if such a request
// has the longest deadline and its server hangs, it is answered before the process ends, and does not delay the end.
func TestARequestReadLateInTheEndIsAnswered(t *testing.T) {
	for _, request := range []string{lookRequest("t"), onceRequest("t"), "POST /book HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t\r\nX-Qos: book\r\nIdempotency-Key: k\r\nContent-Length: 0\r\nX-Expires-In: 9000m\r\n\r\n"} {
		request = strings.Replace(request, "9000m", "10000m", 1) // the longest deadline of the class
		runInMemory(t, catalogOf([]string{"127.0.0.1:80"}), func(t *testing.T, n *memnet.Network, listen string, stop func(), ended <-chan error) {
			stop()
			began := time.Now()
			time.Sleep(590 * time.Millisecond)
			c, err := n.Dial(t.Context(), "tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			time.Sleep(190 * time.Millisecond)
			io.WriteString(c, request)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode/100 != 5 || !resp.Close {
				t.Fatalf("%.10s: %v, %v after %v", request, resp, err, time.Since(began))
			}
			if err := <-ended; err != nil || time.Since(began) > 10*time.Second+700*time.Millisecond {
				t.Errorf("it ended after %v: %v", time.Since(began), err)
			}
		})
	}
}

// Without an available server a sidecar becomes ready after some seconds, whatever discovery does, and rejects requests at once.
func TestReadyWithoutAServer(t *testing.T) {
	for name, known := range map[string]string{
		"nothing known": peertest.Catalog(1, true),
		"all gone":      peertest.Catalog(1, true, peertest.Instance("s", "127.0.0.1:80", "draining")),
		"of another deployment": strings.NewReplacer(`"zone":"a"`, `"zone":"elsewhere"`).Replace(
			peertest.Catalog(1, true, peertest.Instance("s", "127.0.0.1:80", "up"))),
	} {
		runInMemory(t, known, func(t *testing.T, n *memnet.Network, listen string, _ func(), _ <-chan error) {
			ask := func(request string) int {
				c, err := n.Dial(t.Context(), "tcp", listen)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				io.WriteString(c, request)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				return resp.StatusCode
			}
			health := "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
			if status := ask(health); status != 503 {
				t.Errorf("%s: %d at once", name, status)
			}
			time.Sleep(6 * time.Second)
			if status := ask(health); status != 200 {
				t.Errorf("%s: %d after 6 s", name, status)
			}
			began := time.Now()
			if status := ask(onceRequest("t")); status != 503 || time.Since(began) > 10*time.Millisecond {
				t.Errorf("%s: a request: %d after %v", name, status, time.Since(began))
			}
		})
	}
}
