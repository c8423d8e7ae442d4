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
		if !t.inbound.admit(conn) {
			_ = conn.Close()
			continue
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
	defer t.inbound.remove(conn)
	defer t.closeConnection(conn)
	reader := &messageReader{source: bufio.NewReaderSize(conn, bufferBytes), conn: conn, memory: t.limits.Memory, limit: t.limits.MessageBytes}
	defer reader.release()
	decoder := gob.NewDecoder(reader)
	for {
		if conn.SetReadDeadline(time.Now().Add(2*idleTimeout)) != nil {
			return
		}
		var e Envelope
		if decoder.Decode(&e) != nil {
			return
		}
		t.inbound.received(conn)
		t.handler(e.From, t.codec.FromWire(e.Body))
	}
}
