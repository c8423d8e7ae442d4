package peertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
func NewDiscovery(t testing.TB, first string) (d *Discovery, addr string) {
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

// Instance is an entry of discovery's list, in its JSON form: a server of cell 3 in zone a. lifecycle is one of the platform's, such as up.
func Instance(name, addr, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":"m2","cell":3,"lifecycle":%q,"weight":1.0,"startedAtMs":0}`,
		name, addr, lifecycle)
}

// Catalog is a message of discovery, in its JSON form, of a list's generation. With reset the instances are the complete list, else what has
// changed.
func Catalog(generation int, reset bool, instances ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, reset, strings.Join(instances, ","))
}
