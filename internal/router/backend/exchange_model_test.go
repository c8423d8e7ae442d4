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

// outcome is what a caller learns of an exchange.
type outcome string

const (
	complete outcome = "complete" // a complete answer to this request
	notRun   outcome = "not run"  // the server says that it has not run the request
	broken   outcome = "broken"   // it may have run
)

// behaviour is what a server does with one request: what it writes, and whether and how it closes.
type behaviour struct {
	name     string
	write    func(id string) string
	end      connectionEnd
	onNew    outcome // what the caller learns, on a connection that nothing was sent on before
	onUsed   outcome // and on one that an exchange has ended on
	reusable bool    // whether the connection may be used again
}

type connectionEnd int

const (
	staysOpen connectionEnd = iota
	closes
	resets
)

func answerHead(status, id, more string) string {
	text := "HTTP/1.1 " + status + "\r\n"
	if id != "" {
		text += "X-Request-Id: " + id + "\r\n"
	}
	return text + more + "\r\n"
}

func answerWithLength(status, id, more, body string) string {
	return answerHead(status, id, more+fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
}

const notExecuted = "X-Not-Executed: 1\r\n"

func behaviours() []behaviour {
	text := func(s string) func(string) string { return func(string) string { return s } }
	mine := func(status, more string) func(string) string {
		return func(id string) string { return answerWithLength(status, id, more, "mine") }
	}
	return []behaviour{
		{"answers", mine("200 OK", ""), staysOpen, complete, complete, true},
		{"answers and closes", mine("200 OK", ""), closes, complete, complete, false},
		{"says that it closes", mine("200 OK", "Connection: close\r\n"), staysOpen, complete, complete, false},
		{"answers in chunks", func(id string) string {
			return answerHead("200 OK", id, "Transfer-Encoding: chunked\r\n") + "4\r\nmine\r\n0\r\n\r\n"
		}, staysOpen, complete, complete, true},
		{"answers without a length", func(id string) string { return answerHead("200 OK", id, "") + "mine" }, closes, complete, complete, false},
		{"is reset after an answer without a length", func(id string) string { return answerHead("200 OK", id, "") + "mi" }, resets, broken, broken, false},
		{"cuts the body", func(id string) string { return answerHead("200 OK", id, "Content-Length: 4\r\n") + "mi" }, closes, broken, broken, false},
		{"cuts a chunk", func(id string) string {
			return answerHead("200 OK", id, "Transfer-Encoding: chunked\r\n") + "4\r\nmi"
		}, closes, broken, broken, false},
		{"ends chunks without the last", func(id string) string {
			return answerHead("200 OK", id, "Transfer-Encoding: chunked\r\n") + "4\r\nmine\r\n"
		}, closes, broken, broken, false},
		{"cuts the head", text("HTTP/1.1 200 OK\r\nX-Requ"), closes, broken, broken, false},
		{"closes", text(""), closes, broken, broken, false},
		{"is reset", text(""), resets, broken, broken, false},
		{"writes what is no answer", text("nonsense\r\n\r\n"), staysOpen, broken, broken, false},
		{"fails", mine("500 Internal Server Error", ""), staysOpen, complete, complete, true},
		{"says that it has not run it", mine("503 Service Unavailable", notExecuted), staysOpen, notRun, notRun, true},
		{"says that it is another", mine("421 Misdirected Request", ""), staysOpen, notRun, notRun, true},
		{"promises without an id", text(answerWithLength("503 Service Unavailable", "", notExecuted, "mine")), staysOpen, broken, broken, false},
		{"says that it is another without an id", text(answerWithLength("421 Misdirected Request", "", "", "mine")), staysOpen, broken, broken, false},
		{"answers without an id", text(answerWithLength("200 OK", "", "", "mine")), staysOpen, complete, broken, true},
		{"fails without an id", text(answerWithLength("500 Internal Server Error", "", "", "mine")), staysOpen, complete, broken, true},
		{"answers another first", func(id string) string {
			return answerWithLength("200 OK", "another", "", "other") + answerWithLength("200 OK", id, "", "mine")
		}, staysOpen, complete, complete, true},
		{"promises another first", func(id string) string {
			return answerWithLength("503 Service Unavailable", "another", notExecuted, "other") + answerWithLength("200 OK", id, "", "mine")
		}, staysOpen, complete, complete, true},
		{"answers an earlier attempt alone", text(answerWithLength("200 OK", "0", "", "other")), closes, broken, broken, false},
		{"says to go on first", func(id string) string {
			return "HTTP/1.1 100 Continue\r\n\r\n" + answerWithLength("200 OK", id, "", "mine")
		}, staysOpen, complete, complete, true},
		{"answers twice", func(id string) string { return strings.Repeat(answerWithLength("200 OK", id, "", "mine"), 2) }, staysOpen, complete, complete, false},
		{"answers and goes on writing", func(id string) string { return answerWithLength("200 OK", id, "", "mine") + "rest" }, staysOpen, complete, complete, false},
	}
}

// respond is a server's side of one exchange; it returns the connection, or nil where it ended.
func (b *behaviour) respond(c net.Conn, id string) net.Conn {
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

// outcomeOf is the outcome that a caller sees in a result.
func outcomeOf(t *testing.T, r result) outcome {
	t.Helper()
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
		return notRun
	}
	return complete
}

// Every two behaviours of a server, one after the other: the second exchange has the outcome of its own behaviour, on
// the first's connection where that may be used again, and otherwise on a new one.
func TestEveryTwoExchanges(t *testing.T) {
	for _, first := range behaviours() {
		for _, second := range behaviours() {
			t.Run(first.name+", then "+second.name, func(t *testing.T) {
				s := newScriptedServer(t, 4)
				c, got := s.exchange(nil, &first, "1")
				require.Equal(t, first.onNew, got)
				reused := first.reusable && first.onNew != broken
				if !reused {
					c = nil
				}
				expected := second.onNew
				if reused {
					expected = second.onUsed
				}
				_, got = s.exchange(c, &second, "2")
				require.Equal(t, expected, got)
				require.Equal(t, reused, s.pool.opened == 1, "a connection that may not be used again was, or one that may was not")
			})
		}
	}
}

// exchange carries out one exchange, on a connection or, where that is nil, on a new one.
func (s *scriptedServer) exchange(c net.Conn, b *behaviour, id string) (net.Conn, outcome) {
	done := s.send(id)
	if c == nil {
		made := <-s.conns
		s.t.Cleanup(func() { made.Close() })
		c = made
	}
	_, err := http.ReadRequest(bufio.NewReader(c))
	require.NoError(s.t, err)
	c = b.respond(c, id)
	return c, outcomeOf(s.t, <-done)
}

// A server answers before it has read a long request: the answer comes at once, and the connection, on which the
// rest of the body was not sent, is not used again.
func TestAnEarlyAnswer(t *testing.T) {
	for _, status := range []string{"413 Request Entity Too Large", "503 Service Unavailable"} {
		s := newScriptedServer(t, 4)
		done := make(chan result, 1)
		go func() {
			long := make([]byte, 8<<20) // more than two sockets hold
			answer, err := s.pool.Do(s.t.Context(), &Request{ID: "long", Method: http.MethodPost, Target: "/x", Host: "a.example", Header: http.Header{}, Body: long})
			done <- result{answer, err}
		}()
		c, in := s.accept()
		_, err := http.ReadRequest(in)
		require.NoError(t, err)
		_, err = io.WriteString(c, answerWithLength(status, "long", notExecuted, "mine"))
		require.NoError(t, err)
		require.Equal(t, notRun, outcomeOf(t, <-done))
		require.Zero(t, s.pool.open, "its connection is closed")
		next := s.send("next")
		c, in = s.accept()
		s.serve(c, in, answerTo("next", "two"))
		require.Equal(t, "two", s.readAnswer(<-next))
	}
}

// A long request that is read completely leaves its connection usable.
func TestALongRequest(t *testing.T) {
	s := newScriptedServer(t, 4)
	body := strings.Repeat("x", longRequestBytes)
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
	require.Equal(t, "one", s.readAnswer(<-done))
	next := s.send("next")
	s.serve(c, in, answerTo("next", "two"))
	require.Equal(t, "two", s.readAnswer(<-next))
	require.Equal(t, 1, s.pool.opened)
}
