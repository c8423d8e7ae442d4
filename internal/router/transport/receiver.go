package transport

import (
	"bufio"
	"encoding/gob"
	"net"
	"time"
)

// Serve accepts connections of other routers until the listener or the transport is closed. It returns the error that
// ended it, which is never nil.
func (t *Transport) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		if !t.track(conn) {
			_ = conn.Close()
			return net.ErrClosed
		}
		t.goroutines.Go(func() { t.receive(conn) })
	}
}

// receive passes the messages of a connection to the handler until the connection fails or has been idle for too long.
func (t *Transport) receive(conn net.Conn) {
	defer t.closeConnection(conn)
	decoder := gob.NewDecoder(bufio.NewReaderSize(conn, bufferBytes))
	for {
		if conn.SetReadDeadline(time.Now().Add(2*idleTimeout)) != nil {
			return
		}
		var e Envelope
		if decoder.Decode(&e) != nil {
			return
		}
		t.handler(e.From, t.codec.FromWire(e.Body))
	}
}
