package http1

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"petrelhook/internal/message"
	"petrelhook/internal/peertest"
	"petrelhook/internal/upstream"
)

// large answers with a body of a size, in one piece or in chunks.
func large(size int, chunked bool) string {
	body := strings.Repeat("x", size)
	if chunked {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body)
}

// What a server did is done, however much it has to say of it: a whole answer is passed on unchanged, and its connection used
// again. The memory for it is bounded and given back by whoever has passed it on; no room is our trouble, and proves nothing.
func TestLargeAnswers(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, c := range []struct {
			size int
			room int64
			want upstream.Result
		}{
			{message.MaxBody, 1, upstream.Served}, // counts as none
			{message.MaxBody + 1, message.MaxReply, upstream.Served},
			{400_000, message.MaxReply, upstream.Served},
			{message.MaxReply, message.MaxReply, upstream.Served},
			{message.MaxReply + 1, 0, upstream.Failed},
			{400_000, 399_999, upstream.Cancelled},
			{400_000, 0, upstream.Served}, // 0: no bound
		} {
			t.Run(fmt.Sprint(c.size, " in ", c.room, " chunked ", chunked), func(t *testing.T) {
				p := peertest.NewPeer(t, peertest.Says(large(c.size, chunked)))
				u := testPool(9)
				u.room.most = c.room
				e := u.at(p.Addr)
				for range 3 {
					r := e.Send(context.Background(), look())
					if r.Result != c.want || r.Result.NeverRan() {
						t.Fatalf("%v (%v), want %v", r.Result, r.Err, c.want)
					}
					if c.want == upstream.Served && len(r.Reply.Body) != c.size {
						t.Fatalf("%d bytes of %d", len(r.Reply.Body), c.size)
					}
					if held := u.room.held.Load(); c.want == upstream.Served && c.size > message.MaxBody && held < int64(c.size) {
						t.Errorf("%d bytes are held", held)
					}
					r.Reply.Done()
					r.Reply.Done() // gives back once
					if held := u.room.held.Load(); held != 0 {
						t.Fatalf("%d bytes are still held", held)
					}
				}
				if n := p.Conns.Load(); c.want == upstream.Served && n != 1 {
					t.Errorf("%d connections for three answers", n)
				}
			})
		}
	}
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
		"of unknown length":    {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 400_000), upstream.Reset},
	} {
		p := peertest.NewPeer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
			io.WriteString(conn, c.answer)
			return false
		})
		u := testPool(9)
		r := u.at(p.Addr).Send(context.Background(), look())
		if r.Result != c.want || r.Reply.Body != nil || u.room.held.Load() != 0 {
			t.Errorf("%s: %v (%v), %d bytes are held", name, r.Result, r.Err, u.room.held.Load())
		}
	}
}
