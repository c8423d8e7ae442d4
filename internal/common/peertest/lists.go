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

// Lists is a discovery that is watched: a list that is told goes to all that watch.
type Lists struct {
	mu    sync.Mutex
	now   string
	open  map[net.Conn]struct{}
	calls int
}

// NewLists starts one that tells a first list.
func NewLists(t *testing.T, first string) (l *Lists, addr string) {
	l = &Lists{now: first, open: map[net.Conn]struct{}{}}
	return l, NewRaw(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.calls++
		if req.URL.Query().Get("watch") == "" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(l.now), l.now)
			l.mu.Unlock()
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s\n", l.now)
		l.open[c] = struct{}{}
		l.mu.Unlock()
		_, _ = in.ReadByte() // until it is closed
		l.mu.Lock()
		delete(l.open, c)
		l.mu.Unlock()
	})
}

// Tell tells a list to all that watch, and to those that ask from now on.
func (l *Lists) Tell(list string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = list
	for c := range l.open {
		io.WriteString(c, list+"\n")
	}
}

// Watches is how many watches are open.
func (l *Lists) Watches() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Calls is how many calls there were.
func (l *Lists) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}
