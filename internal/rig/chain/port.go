package chain

import (
	"net"
	"net/http"
	"sync"
)

// port is an HTTP server at a port of its own, that knows when nothing of it runs any more.
type port struct {
	addr   string
	server *http.Server
	done   sync.WaitGroup // it serves, and its connections
}

// serveAt serves on a free port of loopback.
func serveAt(handler http.Handler) (*port, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &port{addr: ln.Addr().String(), server: &http.Server{Handler: handler, IdleTimeout: idle}}
	p.server.ConnState = func(_ net.Conn, now http.ConnState) {
		switch now {
		case http.StateNew: // Serve says so before it can return
			p.done.Add(1)
		case http.StateClosed, http.StateHijacked:
			p.done.Done()
		}
	}
	p.done.Go(func() { _ = p.server.Serve(ln) }) // until Close
	return p, nil
}

// close ends it: what it works on has its context ended, and is waited for.
func (p *port) close() {
	p.server.Close()
	p.done.Wait()
}
