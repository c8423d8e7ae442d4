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

// outcome is the result of an exchange as its caller sees it.
type outcome string

const (
	complete outcome = "complete" // a complete response to this request
	rejected outcome = "rejected" // the server reports that it has not run the request
	broken   outcome = "broken"   // the request may have run
)

// behaviour describes how a server handles one request: what it writes, and whether and how it closes the connection.
type behaviour struct {
	name     string
	write    func(id string) string
	end      connectionEnd
	onNew    outcome // expected outcome on a new connection
	onReused outcome // expected outcome on a reused connection
	reusable bool    // whether the connection may be reused afterwards
}

// connectionEnd is what a server does with the connection after it has written.
type connectionEnd int

const (
	staysOpen connectionEnd = iota
	closes
	resets
)

// responseHead returns a status line and a header with an X-Request-Id, unless id is empty, and extra header lines.
func responseHead(status, id, extraHeaders string) string {
	head := "HTTP/1.1 " + status + "\r\n"
	if id != "" {
		head += "X-Request-Id: " + id + "\r\n"
	}
	return head + extraHeaders + "\r\n"
}

// responseWithLength returns a response with a Content-Length.
func responseWithLength(status, id, extraHeaders, body string) string {
	return responseHead(status, id, extraHeaders+fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
}

const notExecuted = "X-Not-Executed: 1\r\n"

// withoutLength is the behaviour after which a connection is opened that the next exchange can use.
const withoutLength = "response without a length"

// behaviours returns the behaviours that the tests combine. A response with the body "mine" belongs to the request, one with the
// body "other" to another request.
func behaviours() []behaviour {
	fixed := func(s string) func(string) string { return func(string) string { return s } }
	ownResponse := func(status, extraHeaders string) func(string) string {
		return func(id string) string { return responseWithLength(status, id, extraHeaders, "mine") }
	}
	return []behaviour{
		{"complete response", ownResponse("200 OK", ""), staysOpen, complete, complete, true},
		{"complete response and close", ownResponse("200 OK", ""), closes, complete, complete, false},
		{"Connection: close", ownResponse("200 OK", "Connection: close\r\n"), staysOpen, complete, complete, false},
		{"chunked response", func(id string) string {
			return responseHead("200 OK", id, "Transfer-Encoding: chunked\r\n") + "4\r\nmine\r\n0\r\n\r\n"
		}, staysOpen, complete, complete, true},
		{withoutLength, func(id string) string { return responseHead("200 OK", id, "") + "mine" }, closes, complete, complete, false},
		{"reset after a response without a length", func(id string) string { return responseHead("200 OK", id, "") + "mi" }, resets, broken, broken, false},
		{"truncated body", func(id string) string { return responseHead("200 OK", id, "Content-Length: 4\r\n") + "mi" }, closes, broken, broken, false},
		{"truncated chunk", func(id string) string {
			return responseHead("200 OK", id, "Transfer-Encoding: chunked\r\n") + "4\r\nmi"
		}, closes, broken, broken, false},
		{"chunks without the last one", func(id string) string {
			return responseHead("200 OK", id, "Transfer-Encoding: chunked\r\n") + "4\r\nmine\r\n"
		}, closes, broken, broken, false},
		{"truncated head", fixed("HTTP/1.1 200 OK\r\nX-Requ"), closes, broken, broken, false},
		{"close", fixed(""), closes, broken, broken, false},
		{"reset", fixed(""), resets, broken, broken, false},
		{"not HTTP", fixed("nonsense\r\n\r\n"), staysOpen, broken, broken, false},
		{"500", ownResponse("500 Internal Server Error", ""), staysOpen, complete, complete, true},
		{"not executed", ownResponse("503 Service Unavailable", notExecuted), staysOpen, rejected, rejected, true},
		{"misdirected", ownResponse("421 Misdirected Request", ""), staysOpen, rejected, rejected, true},
		{"not executed without an id", fixed(responseWithLength("503 Service Unavailable", "", notExecuted, "mine")), staysOpen, broken, broken, false},
		{"misdirected without an id", fixed(responseWithLength("421 Misdirected Request", "", "", "mine")), staysOpen, broken, broken, false},
		{"complete response without an id", fixed(responseWithLength("200 OK", "", "", "mine")), staysOpen, complete, broken, true},
		{"500 without an id", fixed(responseWithLength("500 Internal Server Error", "", "", "mine")), staysOpen, complete, broken, true},
		{"response to another request first", func(id string) string {
			return responseWithLength("200 OK", "another", "", "other") + responseWithLength("200 OK", id, "", "mine")
		}, staysOpen, complete, complete, true},
		{"not executed for another request first", func(id string) string {
			return responseWithLength("503 Service Unavailable", "another", notExecuted, "other") + responseWithLength("200 OK", id, "", "mine")
		}, staysOpen, complete, complete, true},
		{"only a response to an earlier request", fixed(responseWithLength("200 OK", "0", "", "other")), closes, broken, broken, false},
		{"100 Continue first", func(id string) string {
			return "HTTP/1.1 100 Continue\r\n\r\n" + responseWithLength("200 OK", id, "", "mine")
		}, staysOpen, complete, complete, true},
		{"two responses", func(id string) string { return strings.Repeat(responseWithLength("200 OK", id, "", "mine"), 2) }, staysOpen, complete, complete, false},
		{"bytes after the response", func(id string) string { return responseWithLength("200 OK", id, "", "mine") + "rest" }, staysOpen, complete, complete, false},
	}
}

// respond carries out the server's side of one exchange. It returns the connection, or nil if it has closed it.
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

// outcomeOf returns the outcome that a result shows to the caller of Do.
func outcomeOf(t *testing.T, r result) outcome {
	t.Helper()
	if r.err != nil {
		require.True(t, errors.Is(r.err, ErrBroken), "%v", r.err)
		require.False(t, errors.Is(r.err, ErrNotSent), "the server has received the request")
		return broken
	}
	defer r.response.Close()
	body, err := io.ReadAll(r.response)
	if err != nil {
		return broken
	}
	require.Equal(t, "mine", string(body), "the response belongs to another request")
	if r.response.Header.Get("X-Not-Executed") != "" || r.response.Status == http.StatusMisdirectedRequest {
		return rejected
	}
	return complete
}

// For every two behaviours in succession, the second exchange has the outcome of its own behaviour. It takes place on the first
// one's connection if that may be reused, and otherwise on a new one.
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
					expected = second.onReused
				}
				_, got = s.exchange(c, &second, "2")
				require.Equal(t, expected, got)
				opened := 1
				if !reused {
					opened++
				}
				if second.name == withoutLength {
					opened++ // to see whether the server is still there
				}
				require.Equal(t, opened, s.pool.opened, "a connection must be reused exactly if it is reusable")
			})
		}
	}
}

// At the limit on connections the one that has ended makes room for the one that shows whether the server is still there.
func TestAConnectionThatEndedIsReplacedAtTheLimit(t *testing.T) {
	for name, c := range map[string]struct {
		serverEnds func(*scriptedServer)
		outcome    outcome
		kept       int // connections
	}{
		"the server is there":                {func(*scriptedServer) {}, complete, 1},
		"the server is gone":                 {func(s *scriptedServer) { s.listener.Close() }, broken, 0},
		"the kernel ends its listener later": {func(s *scriptedServer) { go func() { c := <-s.conns; s.listener.Close(); c.Close() }() }, broken, 0},
		"it ends new connections":            {func(s *scriptedServer) { go func() { (<-s.conns).Close(); (<-s.conns).Close() }() }, complete, 0},
		"gone, the exchange is cancelled":    {func(s *scriptedServer) { go func() { c := <-s.conns; s.cancel(); s.listener.Close(); c.Close() }() }, broken, 0},
		"there, the exchange is cancelled":   {func(s *scriptedServer) { go func() { c := <-s.conns; s.cancel(); c.Close(); (<-s.conns).Close() }() }, complete, 0},
		"it sends what nobody asked for":     {func(s *scriptedServer) { go func() { io.WriteString(<-s.conns, "x") }() }, complete, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, 1)
			b := behaviour{withoutLength, func(id string) string {
				c.serverEnds(s)
				return responseHead("200 OK", id, "") + "mine"
			}, closes, c.outcome, c.outcome, false}
			_, got := s.exchange(nil, &b, "1")
			require.Equal(t, c.outcome, got)
			require.Len(t, s.pool.idle, c.kept)
			require.Equal(t, c.kept, s.pool.open)
		})
	}
}

// exchange carries out one exchange, for which the pool is expected to use the connection c, or a new one if c is nil. It returns
// the connection, or nil if the server has closed it.
func (s *scriptedServer) exchange(c net.Conn, b *behaviour, id string) (net.Conn, outcome) {
	done := s.send(id)
	if c == nil {
		accepted := <-s.conns
		s.t.Cleanup(func() { accepted.Close() })
		c = accepted
	}
	_, err := http.ReadRequest(bufio.NewReader(c))
	require.NoError(s.t, err)
	c = b.respond(c, id)
	return c, outcomeOf(s.t, <-done)
}

// If a server responds before it has read a large request, Do returns the response at once, and the connection is not reused
// because the rest of the body was not sent on it.
func TestAnEarlyAnswer(t *testing.T) {
	for _, status := range []string{"413 Request Entity Too Large", "503 Service Unavailable"} {
		s := newScriptedServer(t, 4)
		done := make(chan result, 1)
		go func() {
			large := make([]byte, 8<<20) // more than the buffers of both sockets hold
			response, err := s.pool.Do(s.t.Context(), &Request{ID: "long", Method: http.MethodPost, Target: "/x", Host: "a.example", Header: http.Header{}, Body: large})
			done <- result{response, err}
		}()
		c, reader := s.accept()
		_, err := http.ReadRequest(reader)
		require.NoError(t, err)
		_, err = io.WriteString(c, responseWithLength(status, "long", notExecuted, "mine"))
		require.NoError(t, err)
		require.Equal(t, rejected, outcomeOf(t, <-done))
		require.Zero(t, s.pool.open, "the connection is closed")
		next := s.send("next")
		c, reader = s.accept()
		s.serve(c, reader, responseTo("next", "two"))
		require.Equal(t, "two", s.readBody(<-next))
	}
}

// After a large request that the server has read completely, the connection is reused.
func TestLargeRequest(t *testing.T) {
	s := newScriptedServer(t, 4)
	body := strings.Repeat("x", largeRequestBytes)
	done := make(chan result, 1)
	go func() {
		response, err := s.pool.Do(s.t.Context(), &Request{ID: "long", Method: http.MethodPost, Target: "/x", Host: "a.example", Header: http.Header{}, Body: []byte(body)})
		done <- result{response, err}
	}()
	c, reader := s.accept()
	request, err := http.ReadRequest(reader)
	require.NoError(t, err)
	got, err := io.ReadAll(request.Body)
	require.NoError(t, err)
	require.Equal(t, body, string(got))
	_, err = io.WriteString(c, responseTo("long", "one"))
	require.NoError(t, err)
	require.Equal(t, "one", s.readBody(<-done))
	next := s.send("next")
	s.serve(c, reader, responseTo("next", "two"))
	require.Equal(t, "two", s.readBody(<-next))
	require.Equal(t, 1, s.pool.opened)
}
