package rpc

import (
	"bytes"
	"compress/gzip"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"petrelhook/internal/common/clientlimit"
)

// text is a message with one field.
type text struct {
	Text string `json:"text"`
}

// A call without memory is refused in a way that its caller may repeat, one that is too long is not, and afterwards nothing is reserved.
func TestCallsReserveMemory(t *testing.T) {
	const path, maxBytes = "/s/Call", 1 << 20
	memory := clientlimit.NewMemory(1 << 20)
	mux := http.NewServeMux()
	Handle(mux, path, maxBytes, func(context.Context, *text) (*text, error) {
		if memory.Reserved() == 0 {
			t.Error("nothing is reserved for a call that is handled")
		}
		return &text{"ok"}, nil
	})
	server := &http.Server{Handler: mux}
	LimitMemory(server, memory)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	client := Client[text, text](http.DefaultClient, ln.Addr().String(), path, maxBytes)
	for _, c := range []struct {
		bytes int
		want  connect.Code // 0: a success
	}{{100, 0}, {150 << 10, 0}, {600 << 10, connect.CodeUnavailable}, {100, 0}} {
		_, err := client.CallUnary(t.Context(), connect.NewRequest(&text{strings.Repeat("x", c.bytes)}))
		if (err == nil) != (c.want == 0) || (err != nil && connect.CodeOf(err) != c.want) {
			t.Errorf("%d bytes: %v", c.bytes, err)
		}
		if reserved := memory.Reserved(); reserved != 0 {
			t.Errorf("%d bytes: %d are reserved after the call", c.bytes, reserved)
		}
	}
	if _, err := client.CallUnary(t.Context(), connect.NewRequest(&text{strings.Repeat("x", 2*maxBytes)})); err == nil {
		t.Error("a call that is too long is handled")
	}
}

// The size of an encoded body says nothing about what it becomes.
func TestEncodedBodiesAreRefused(t *testing.T) {
	var encoded bytes.Buffer
	writer := gzip.NewWriter(&encoded)
	writer.Write(make([]byte, 1<<20))
	writer.Close()
	server := &http.Server{}
	LimitMemory(server, clientlimit.NewMemory(0))
	mux := http.NewServeMux()
	Handle(mux, "/s/Call", 1<<20, func(context.Context, *text) (*text, error) { return &text{}, nil })
	server.Handler = mux
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	request, err := http.NewRequest(http.MethodPost, "http://"+ln.Addr().String()+"/s/Call", &encoded)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Encoding", "gzip")
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusUnsupportedMediaType {
		t.Error(response.Status)
	}
}
