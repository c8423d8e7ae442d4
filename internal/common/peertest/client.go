package peertest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Dial connects to an address and returns the connection and a reader of it. The deadline for all reads and writes is
// EventTimeout from now. The connection is closed at the end of the test.
func Dial(t testing.TB, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(EventTimeout))
	return c, bufio.NewReader(c)
}

// SendRequest sends a request on a new connection and returns the response and its body.
func SendRequest(t testing.TB, addr, request string) (*http.Response, string) {
	t.Helper()
	c, in := Dial(t, addr)
	io.WriteString(c, request)
	return ReadResponse(t, in)
}

// ReadResponse reads one response and returns it with its body.
func ReadResponse(t testing.TB, in *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}
