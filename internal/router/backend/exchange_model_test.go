package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// outcome is what a caller is told of an exchange.
type outcome string

const (
	whole   outcome = "whole"   // an answer to this request, all of it
	promise outcome = "promise" // the server says that it has not run it
	broken  outcome = "broken"  // it may have run
)

// behaviour is what a server does with one request: what it writes, and whether and how it closes.
type behaviour struct {
	name   string
	write  func(id string) string
	end    ending
	onNew  outcome // what the caller is told, on a connection that nothing was sent on before
	onUsed outcome // and on one that an exchange has ended on
	keeps  bool    // whether the connection may be used again
}

type ending int

const (
	stays ending = iota
	closes
	resets
)

func head(status, id, more string) string {
	text := "HTTP/1.1 " + status + "\r\n"
	if id != "" {
		text += "X-Request-Id: " + id + "\r\n"
	}
	return text + more + "\r\n"
}

func sized(status, id, more, body string) string {
	return head(status, id, more+fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
}

const notExecuted = "X-Not-Executed: 1\r\n"

func behaviours() []behaviour {
	text := func(s string) func(string) string { return func(string) string { return s } }
	mine := func(status, more string) func(string) string {
		return func(id string) string { return sized(status, id, more, "mine") }
	}
	return []behaviour{
		{"answers", mine("200 OK", ""), stays, whole, whole, true},
		{"answers and closes", mine("200 OK", ""), closes, whole, whole, false},
		{"says that it closes", mine("200 OK", "Connection: close\r\n"), stays, whole, whole, false},
		{"answers in chunks", func(id string) string {
			return head("200 OK", id, "Transfer-Encoding: chunked\r\n") + "4\r\nmine\r\n0\r\n\r\n"
		}, stays, whole, whole, true},
		{"answers without a length", func(id string) string { return head("200 OK", id, "") + "mine" }, closes, whole, whole, false},
		{"is reset after an answer without a length", func(id string) string { return head("200 OK", id, "") + "mi" }, resets, broken, broken, false},
		{"cuts the body", func(id string) string { return head("200 OK", id, "Content-Length: 4\r\n") + "mi" }, closes, broken, broken, false},
		{"cuts a chunk", func(id string) string {
			return head("200 OK", id, "Transfer-Encoding: chunked\r\n") + "4\r\nmi"
		}, closes, broken, broken, false},
		{"ends chunks without the last", func(id string) string {
			return head("200 OK", id, "Transfer-Encoding: chunked\r\n") + "4\r\nmine\r\n"
		}, closes, broken, broken, false},
		{"cuts the head", text("HTTP/1.1 200 OK\r\nX-Requ"), closes, broken, broken, false},
		{"closes", text(""), closes, broken, broken, false},
		{"is reset", text(""), resets, broken, broken, false},
		{"writes what is no answer", text("nonsense\r\n\r\n"), stays, broken, broken, false},
		{"fails", mine("500 Internal Server Error", ""), stays, whole, whole, true},
		{"says that it has not run it", mine("503 Service Unavailable", notExecuted), stays, promise, promise, true},
		{"says that it is another", mine("421 Misdirected Request", ""), stays, promise, promise, true},
		{"promises without an id", text(sized("503 Service Unavailable", "", notExecuted, "mine")), stays, broken, broken, false},
		{"says that it is another without an id", text(sized("421 Misdirected Request", "", "", "mine")), stays, broken, broken, false},
		{"answers without an id", text(sized("200 OK", "", "", "mine")), stays, whole, broken, true},
		{"fails without an id", text(sized("500 Internal Server Error", "", "", "mine")), stays, whole, broken, true},
		{"answers another first", func(id string) string {
			return sized("200 OK", "another", "", "other") + sized("200 OK", id, "", "mine")
		}, stays, whole, whole, true},
		{"promises another first", func(id string) string {
			return sized("503 Service Unavailable", "another", notExecuted, "other") + sized("200 OK", id, "", "mine")
		}, stays, whole, whole, true},
		{"answers an earlier try alone", text(sized("200 OK", "0", "", "other")), closes, broken, broken, false},
		{"says to go on first", func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + sized("200 OK", id, "", "mine") }, stays, whole, whole, true},
		{"answers twice", func(id string) string { return strings.Repeat(sized("200 OK", id, "", "mine"), 2) }, stays, whole, whole, false},
		{"answers and goes on writing", func(id string) string { return sized("200 OK", id, "", "mine") + "rest" }, stays, whole, whole, false},
	}
}

// meet is a server's side of one exchange; it gives the connection as it is afterwards, or nil where it ended.
func (b *behaviour) meet(c net.Conn, id string) net.Conn {
	io.WriteString(c, b.write(id))
	switch b.end {
	case closes:
		c.Close()
		return nil
	case resets:
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return nil
	}
	return c
}

// tell is what a caller makes of a result.
func tell(t *testing.T, r result) outcome {
	if r.err != nil {
		require.True(t, errors.Is(r.err, ErrBroken), "%v", r.err)
		require.False(t, errors.Is(r.err, ErrNotSent), "the server had it")
		return broken
	}
	defer r.answer.Close()
	body, err := io.ReadAll(r.answer)
	if err != nil {
		return broken
	}
	require.Equal(t, "mine", string(body), "another's answer")
	if r.answer.Header.Get("X-Not-Executed") != "" || r.answer.Status == http.StatusMisdirectedRequest {
		return promise
	}
	return whole
}

// Every two behaviours of a server, one after the other: the second exchange is told what is true of it alone, on the first's connection where that
// may be used again, and on a new one elsewhere.
func TestEveryTwoExchanges(t *testing.T) {
	for _, first := range behaviours() {
		for _, second := range behaviours() {
			t.Run(first.name+", then "+second.name, func(t *testing.T) {
				s := newScripted(t, 4)
				c, told := s.exchange(nil, &first, "1")
				require.Equal(t, first.onNew, told)
				kept := first.keeps && first.onNew != broken
				if !kept {
					c = nil
				}
				expected := second.onNew
				if kept {
					expected = second.onUsed
				}
				_, told = s.exchange(c, &second, "2")
				require.Equal(t, expected, told)
				require.Equal(t, kept, s.pool.opened == 1, "a connection that may not be used again was, or one that may was not")
			})
		}
	}
}

// exchange plays one exchange, on a connection or, where that is nil, on a new one.
func (s *scripted) exchange(c net.Conn, b *behaviour, id string) (net.Conn, outcome) {
	done := s.send(id)
	if c == nil {
		made := <-s.conns
		s.t.Cleanup(func() { made.Close() })
		c = made
	}
	_, err := http.ReadRequest(bufio.NewReader(c))
	require.NoError(s.t, err)
	c = b.meet(c, id)
	return c, tell(s.t, <-done)
}

// A server answers before it has read a long request: the answer comes at once, and nothing else goes over that connection, on which the
// rest of the body is due.
func TestAnEarlyAnswer(t *testing.T) {
	for _, status := range []string{"413 Request Entity Too Large", "503 Service Unavailable"} {
		s := newScripted(t, 4)
		done := make(chan result, 1)
		go func() {
			long := make([]byte, 8<<20) // more than two sockets hold
			answer, err := s.pool.Do(s.t.Context(), &Request{ID: "long", Method: http.MethodPost, Target: "/x", Host: "a.example", Header: http.Header{}, Body: long})
			done <- result{answer, err}
		}()
		c, in := s.accept()
		_, err := http.ReadRequest(in)
		require.NoError(t, err)
		_, err = io.WriteString(c, sized(status, "long", notExecuted, "mine"))
		require.NoError(t, err)
		require.Equal(t, promise, tell(t, <-done))
		require.Zero(t, s.pool.open, "its connection is closed")
		next := s.send("next")
		c, in = s.accept()
		s.serve(c, in, answerTo("next", "two"))
		require.Equal(t, "two", s.take(<-next))
	}
}

// A long request that is read whole leaves its connection as good as any.
func TestALongRequest(t *testing.T) {
	s := newScripted(t, 4)
	body := strings.Repeat("x", longRequest)
	done := make(chan result, 1)
	go func() {
		answer, err := s.pool.Do(s.t.Context(), &Request{ID: "long", Method: http.MethodPost, Target: "/x", Host: "a.example", Header: http.Header{}, Body: []byte(body)})
		done <- result{answer, err}
	}()
	c, in := s.accept()
	request, err := http.ReadRequest(in)
	require.NoError(t, err)
	got, err := io.ReadAll(request.Body)
	require.NoError(t, err)
	require.Equal(t, body, string(got))
	_, err = io.WriteString(c, answerTo("long", "one"))
	require.NoError(t, err)
	require.Equal(t, "one", s.take(<-done))
	next := s.send("next")
	s.serve(c, in, answerTo("next", "two"))
	require.Equal(t, "two", s.take(<-next))
	require.Equal(t, 1, s.pool.opened)
}
