package chain

import (
	"net"
	"net/http"
	"sync"
)

// port is an HTTP server at a port of its own. Unlike http.Server it can wait for all of its connections.
type port struct {
	addr   string
	server *http.Server
	done   sync.WaitGroup // Serve, and each connection
}

// serveAt serves at a free port of loopback.
func serveAt(handler http.Handler) (*port, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &port{addr: ln.Addr().String(), server: &http.Server{Handler: handler, IdleTimeout: idleTimeout}}
	p.server.ConnState = func(_ net.Conn, now http.ConnState) {
		switch now {
		case http.StateNew: // is called before Serve can return
			p.done.Add(1)
		case http.StateClosed, http.StateHijacked:
			p.done.Done()
		}
	}
	p.done.Go(func() { _ = p.server.Serve(ln) }) // until Close
	return p, nil
}

// close cancels the contexts of requests in progress, and waits for them.
func (p *port) close() {
	_ = p.server.Close() // ends the connections too; nothing is to be saved
	p.done.Wait()
}
