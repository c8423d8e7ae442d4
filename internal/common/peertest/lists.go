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

// Lists is a discovery on loopback whose list a test changes. Subscribers (watch) get each change. It is safe for concurrent use.
type Lists struct {
	mu          sync.Mutex
	list        string
	subscribers map[net.Conn]struct{}
	calls       int
}

// NewLists starts a discovery with a first list. It ends with the test.
func NewLists(t *testing.T, first string) (l *Lists, addr string) {
	l = &Lists{list: first, subscribers: map[net.Conn]struct{}{}}
	return l, NewRaw(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.calls++
		if req.URL.Query().Get("watch") == "" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(l.list), l.list)
			l.mu.Unlock()
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s\n", l.list)
		l.subscribers[c] = struct{}{}
		l.mu.Unlock()
		_, _ = in.ReadByte() // returns when the connection ends
		l.mu.Lock()
		delete(l.subscribers, c)
		l.mu.Unlock()
	})
}

// Tell publishes a list to all subscribers, and to later requests.
func (l *Lists) Tell(list string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = list
	for c := range l.subscribers {
		_, _ = io.WriteString(c, list+"\n")
	}
}

// Watches is the number of open subscriptions.
func (l *Lists) Watches() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.subscribers)
}

// Calls is the number of requests so far.
func (l *Lists) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}
