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

// Discovery is a discovery service on loopback whose list a test changes. A request with the query parameter watch subscribes: it
// is sent the present list and each later one. It is safe for concurrent use.
type Discovery struct {
	mu          sync.Mutex
	list        string
	subscribers map[net.Conn]struct{}
	calls       int
}

// NewDiscovery starts a discovery service with an initial list, and returns it and its address. It ends with the test.
func NewDiscovery(t testing.TB, initialList string) (d *Discovery, addr string) {
	d = &Discovery{list: initialList, subscribers: map[net.Conn]struct{}{}}
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

// Publish sends a list to all subscribers, and makes it the answer to later requests.
func (d *Discovery) Publish(list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = list
	for c := range d.subscribers {
		_, _ = io.WriteString(c, list+"\n")
	}
}

// Subscribers returns the number of open subscriptions.
func (d *Discovery) Subscribers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.subscribers)
}

// Calls returns the number of requests so far, subscriptions included.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// Instance returns an entry of the discovery service's list in its JSON form: a server of cell 3 in zone a. lifecycle is a
// lifecycle state of the platform, such as up.
func Instance(name, addr, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":"m2","cell":3,"lifecycle":%q,"weight":1.0,"startedAtMs":0}`,
		name, addr, lifecycle)
}

// Catalog returns a message of the discovery service in its JSON form, with the generation of the list. With reset the instances
// are the complete list, otherwise they are changes of it.
func Catalog(generation int, reset bool, instances ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, reset, strings.Join(instances, ","))
}
