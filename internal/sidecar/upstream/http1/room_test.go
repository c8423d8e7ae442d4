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

// large answers with a body of a size, in one piece or in chunks.
func large(size int, chunked bool) string {
	body := strings.Repeat("x", size)
	if chunked {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body)
}

// What a server did is done, however much it has to say of it: its answer is passed on unchanged, and its connection used
// again. Where there is room for it, one of some size is held back until it is whole; without room, and beyond that size,
// it is passed on as it comes. The memory is given back by whoever has passed it on.
func TestLargeAnswers(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, c := range []struct {
			size int
			room int64
			held bool
		}{
			{freeSize, 1, true}, // counts as none
			{message.Short, message.Short, true},
			{message.Short, freeSize, false},
			{message.Short + 1, holdSize, !chunked},
			{400_000, holdSize, !chunked},
			{holdSize, holdSize, !chunked},
			{holdSize + 1, 0, false},
			{400_000, 399_999, false},
			{400_000, 0, !chunked}, // 0: no bound
			{9 << 20, 0, false},
		} {
			t.Run(fmt.Sprint(c.size, " in ", c.room, " chunked ", chunked), func(t *testing.T) {
				p := peertest.NewPeer(t, peertest.Says(large(c.size, chunked)))
				u := testPool(9)
				u.Room = membudget.New(c.room)
				e := u.at(p.Addr)
				for range 3 {
					asked := time.Now()
					got := send(e, look())
					if c.held && got.begun && time.Since(asked) >= holdTime { // a busy machine: it was not there in time to be held
						got.Reply.Done()
						continue
					}
					if got.err != nil || got.Result != upstream.Served || got.size != c.size || got.begun == c.held {
						t.Fatalf("%v (%v), %d bytes, begun %v, rest %v", got.Result, got.Err, got.size, got.begun, got.err)
					}
					if held := u.Room.Reserved(); c.held && c.size > message.Short && held < int64(c.size) {
						t.Errorf("%d bytes are held", held)
					}
					got.Reply.Done()
					got.Reply.Done() // gives back once
					if held := u.Room.Reserved(); held != 0 {
						t.Fatalf("%d bytes are still held", held)
					}
				}
				if n := p.Conns.Load(); n != 1 {
					t.Errorf("%d connections for three answers", n)
				}
			})
		}
	}
}

// got is what came of a call, with the rest of its answer read.
type got struct {
	upstream.Outcome
	begun bool
	size  int
	err   error // how the rest ended
	ended upstream.Outcome
}

// send carries out a call as the core does, and reads its answer to the end.
func send(e upstream.Endpoint, c *upstream.Call) (g got) {
	began, ended := make(chan upstream.Outcome, 1), make(chan upstream.Outcome, 1)
	c.Begun = func(out upstream.Outcome) { began <- out }
	go func() { ended <- e.Send(context.Background(), c) }()
	select {
	case g.Outcome = <-began:
		g.begun = true
	case g.Outcome = <-ended:
		return got{Outcome: g.Outcome, ended: g.Outcome, size: len(g.Outcome.Reply.Body)}
	}
	g.size = len(g.Reply.Body)
	if g.begun {
		n, err := io.Copy(io.Discard, g.Reply.Rest)
		g.size, g.err = g.size+int(n), err
		g.ended = <-ended
	}
	return g
}

// Nothing stays counted of a large answer that breaks off, or that is no success.
func TestLargeAnswersThatComeToNothing(t *testing.T) {
	whole := large(400_000, false)
	for name, c := range map[string]struct {
		answer string
		want   upstream.Result
	}{
		"broken off":           {whole[:300_000], upstream.Reset},
		"an error":             {strings.Replace(whole, "200 OK", "500 Oops", 1), upstream.Failed},
		"chunks that break":    {large(400_000, true)[:300_000], upstream.Reset},
		"chunks without sense": {strings.Replace(large(400_000, true), "\r\n0\r\n", "\r\nzz\r\n", 1), upstream.Failed},
	} {
		p := peertest.NewPeer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
			io.WriteString(conn, c.answer)
			return false
		})
		u := testPool(9)
		r := send(u.at(p.Addr), look())
		r.Reply.Done()
		if r.ended.Result != c.want || r.begun && r.err == nil || u.Room.Reserved() != 0 {
			t.Errorf("%s: %v (%v), rest %v, %d bytes are held", name, r.ended.Result, r.ended.Err, r.err, u.Room.Reserved())
		}
	}
}
