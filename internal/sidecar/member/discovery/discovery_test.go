package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/sidecar/member"
)

// indented returns a list over several lines, as some implementations of discovery write it.
func indented(list string) string {
	var out bytes.Buffer
	json.Indent(&out, []byte(list), "", "  ")
	return out.String()
}

// A watch that fails in any way returns an error, and the lists that arrived before are delivered.
func TestWatchEnds(t *testing.T) {
	list := peertest.Catalog(7, true, peertest.Instance("s", "127.0.0.1:1", "up"))
	for name, c := range map[string]struct {
		response  string
		staysOpen bool
		delivered int
	}{
		"refused":         {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, 0},
		"indented":        {"HTTP/1.1 200 OK\r\n\r\n" + indented(list) + "\n\n", false, 1},
		"two at once":     {"HTTP/1.1 200 OK\r\n\r\n" + list + "\n\n" + indented(list) + "\n", false, 2},
		"half a list":     {"HTTP/1.1 200 OK\r\n\r\n" + list[:len(list)/2], false, 0},
		"half, silent":    {"HTTP/1.1 200 OK\r\n\r\n" + list + "\n" + indented(list)[:len(list)/2], true, 1},
		"ended":           {"HTTP/1.1 200 OK\r\n\r\n" + list + "\n\n", false, 1},
		"silent":          {"HTTP/1.1 200 OK\r\n\r\n" + list + "\n", true, 1},
		"no JSON":         {"HTTP/1.1 200 OK\r\n\r\n" + list + "\n{", false, 1},
		"another object":  {"HTTP/1.1 200 OK\r\n\r\n{}\n", false, 0},
		"unknown state":   {"HTTP/1.1 200 OK\r\n\r\n" + strings.Replace(list, `"up"`, `"odd"`, 1) + "\n", false, 0},
		"no address":      {"HTTP/1.1 200 OK\r\n\r\n" + strings.Replace(list, `127.0.0.1:1`, ``, 1) + "\n", false, 0},
		"nothing":         {"", false, 0},
		"not even a head": {"nonsense", false, 0},
	} {
		p := peertest.NewPeer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
			io.WriteString(conn, c.response)
			return c.staysOpen
		})
		source := New(p.Addr, (&net.Dialer{}).DialContext)
		source.silenceTimeout = 20 * time.Millisecond
		delivered := 0
		err := source.Watch(context.Background(), 1, func(got member.List) {
			if delivered++; got.Generation != 7 || !got.Complete || len(got.Instances) != 1 {
				t.Errorf("%s: %+v", name, got)
			}
		})
		if err == nil || delivered != c.delivered {
			t.Errorf("%s: error %v, %d lists", name, err, delivered)
		}
	}
}

// A silent watch must be ended, and the next one opened, soon enough for a change to arrive within 6 s.
func TestSilenceTimeoutBounds(t *testing.T) {
	if silenceTimeout <= 2*time.Second || silenceTimeout >= 3*time.Second {
		t.Errorf("silenceTimeout is %v; an empty line arrives every 2 s", silenceTimeout)
	}
}

func TestFetch(t *testing.T) {
	text := peertest.Catalog(9, true, peertest.Instance("s", "127.0.0.1:1", "up"))
	p := peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+text)
		return false
	})
	if list, err := New(p.Addr, (&net.Dialer{}).DialContext).Fetch(context.Background()); err != nil || list.Generation != 9 || len(list.Instances) != 1 {
		t.Errorf("%+v %v", list, err)
	}
	text = "{"
	if _, err := New(p.Addr, (&net.Dialer{}).DialContext).Fetch(context.Background()); err == nil {
		t.Error("a malformed list is accepted")
	}
}

// Cancelling a call while its connection is being opened cancels the dial too; nothing else would.
func TestCancelledCallEndsItsDial(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		began := time.Now()
		dialling := make(chan struct{})
		source := New("discovery:1", func(ctx context.Context, _, _ string) (net.Conn, error) {
			close(dialling)
			<-ctx.Done()
			return nil, ctx.Err()
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- source.Watch(ctx, 1, func(member.List) {}) }()
		<-dialling
		cancel()
		if err := <-ended; err == nil {
			t.Error("no error")
		}
		synctest.Wait()
		if took := time.Since(began); took != 0 {
			t.Errorf("it took %v", took)
		}
	}) // synctest fails if the dial goes on
}
