package http1

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
)

// largeResponse returns a response whose body has a size, with a length or as one chunk.
func largeResponse(size int, chunked bool) string {
	body := strings.Repeat("x", size)
	if chunked {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body)
}

// A response of any length is passed on unchanged, and its connection is reused. Up to some size, and if there is memory for it,
// it is buffered until it is complete; otherwise it is streamed. The receiver releases the memory.
func TestLargeResponses(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, c := range []struct {
			size     int
			budget   int64
			buffered bool
		}{
			{uncountedSize, 1, true}, // needs no memory from the budget
			{message.MaxBuffered, message.MaxBuffered, true},
			{message.MaxBuffered, uncountedSize, false},
			{message.MaxBuffered + 1, maxBufferSize, !chunked},
			{400_000, maxBufferSize, !chunked},
			{maxBufferSize, maxBufferSize, !chunked},
			{maxBufferSize + 1, 0, false},
			{400_000, 399_999, false},
			{400_000, 0, !chunked}, // 0: no bound
			{9 << 20, 0, false},
		} {
			t.Run(fmt.Sprint(c.size, " in ", c.budget, " chunked ", chunked), func(t *testing.T) {
				p := peertest.NewPeer(t, peertest.RespondWith(largeResponse(c.size, chunked)))
				pool := testPool(9)
				pool.ResponseBudget = membudget.New(c.budget)
				e := pool.endpointAt(p.Addr)
				for range 3 {
					sentAt := time.Now()
					got := send(e, newCall())
					if c.buffered && got.streamed && time.Since(sentAt) >= maxBufferTime { // it arrived too late: the machine is busy
						got.Reply.Done()
						continue
					}
					if got.err != nil || got.Result != upstream.Served || got.size != c.size || got.streamed == c.buffered {
						t.Fatalf("%v (%v), %d bytes, streamed %v, remainder %v", got.Result, got.Err, got.size, got.streamed, got.err)
					}
					if reserved := pool.ResponseBudget.Reserved(); c.buffered && c.size > message.MaxBuffered && reserved < int64(c.size) {
						t.Errorf("%d bytes are reserved", reserved)
					}
					got.Reply.Done()
					got.Reply.Done() // releases nothing more
					if reserved := pool.ResponseBudget.Reserved(); reserved != 0 {
						t.Fatalf("%d bytes are still reserved", reserved)
					}
				}
				if n := p.Conns.Load(); n != 1 {
					t.Errorf("%d connections for three responses", n)
				}
			})
		}
	}
}

// sendResult is the outcome of a call whose response was read to its end.
type sendResult struct {
	upstream.Outcome
	streamed bool
	size     int
	err      error            // how the remainder ended
	ended    upstream.Outcome // what Send returned
}

// send carries out a call as the core does, and reads the response to its end.
func send(e upstream.Endpoint, c *upstream.Call) (g sendResult) {
	started, ended := make(chan upstream.Outcome, 1), make(chan upstream.Outcome, 1)
	c.OnReplyStarted = func(out upstream.Outcome) { started <- out }
	go func() { ended <- e.Send(context.Background(), c) }()
	select {
	case g.Outcome = <-started:
		g.streamed = true
	case g.Outcome = <-ended:
		return sendResult{Outcome: g.Outcome, ended: g.Outcome, size: len(g.Reply.Body)}
	}
	g.size = len(g.Reply.Body)
	if g.streamed {
		n, err := io.Copy(io.Discard, g.Reply.Remainder)
		g.size, g.err = g.size+int(n), err
		g.ended = <-ended
	}
	return g
}

// No memory stays reserved for a large response that is truncated, malformed or has an error status.
func TestFailedLargeResponses(t *testing.T) {
	complete := largeResponse(400_000, false)
	for name, c := range map[string]struct {
		response string
		want     upstream.Result
	}{
		"truncated":        {complete[:300_000], upstream.Reset},
		"an error":         {strings.Replace(complete, "200 OK", "500 Oops", 1), upstream.Failed},
		"truncated chunks": {largeResponse(400_000, true)[:300_000], upstream.Reset},
		"malformed chunk":  {strings.Replace(largeResponse(400_000, true), "\r\n0\r\n", "\r\nzz\r\n", 1), upstream.Failed},
	} {
		p := peertest.NewPeer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
			io.WriteString(conn, c.response)
			return false
		})
		pool := testPool(9)
		r := send(pool.endpointAt(p.Addr), newCall())
		r.Reply.Done()
		if r.ended.Result != c.want || r.streamed && r.err == nil || pool.ResponseBudget.Reserved() != 0 {
			t.Errorf("%s: %v (%v), remainder %v, %d bytes are reserved", name, r.ended.Result, r.ended.Err, r.err, pool.ResponseBudget.Reserved())
		}
	}
}
