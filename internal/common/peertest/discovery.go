package peertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Discovery is a discovery on loopback whose list a test changes. Subscribers (watch) get each change. It is safe for concurrent use.
type Discovery struct {
	mu          sync.Mutex
	list        string
	subscribers map[net.Conn]struct{}
	calls       int
}

// NewDiscovery starts a discovery with a first list. It ends with the test.
func NewDiscovery(t *testing.T, first string) (d *Discovery, addr string) {
	d = &Discovery{list: first, subscribers: map[net.Conn]struct{}{}}
	return d, NewRaw(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		d.mu.Lock()
		d.calls++
		if req.URL.Query().Get("watch") == "" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(d.list), d.list)
			d.mu.Unlock()
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s\n", d.list)
		d.subscribers[c] = struct{}{}
		d.mu.Unlock()
		_, _ = in.ReadByte() // returns when the connection ends
		d.mu.Lock()
		delete(d.subscribers, c)
		d.mu.Unlock()
	})
}

// Publish publishes a list to all subscribers, and to later requests.
func (d *Discovery) Publish(list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = list
	for c := range d.subscribers {
		_, _ = io.WriteString(c, list+"\n")
	}
}

// Subscribers is the number of open subscriptions.
func (d *Discovery) Subscribers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.subscribers)
}

// Calls is the number of requests so far.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}
