package transport

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"sync/atomic"
)

// connection is a connection to a peer, with its own encoder: gob sends the description of each type once per
// connection.
type connection struct {
	conn    net.Conn
	writer  *bufio.Writer
	encoder *gob.Encoder
}

// dial returns a connection to a router, or nil if it cannot be established.
func (t *Transport) dial(address string) *connection {
	dialer := net.Dialer{Timeout: dialTimeout, Control: UserTimeout(deadPeerTimeout), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil
	}
	if !t.track(conn) {
		_ = conn.Close()
		return nil
	}
	t.goroutines.Go(func() { t.closeWithPeer(conn) })
	writer := bufio.NewWriterSize(&countingWriter{conn: conn, total: &t.sentBytes}, bufferBytes)
	return &connection{conn: conn, writer: writer, encoder: gob.NewEncoder(writer)}
}

// closeWithPeer closes a connection as soon as the peer closes it. The peer never writes to this connection, so Read
// returns only when the connection ends.
func (t *Transport) closeWithPeer(conn net.Conn) {
	var unused [1]byte
	_, _ = conn.Read(unused[:])
	t.closeConnection(conn)
}

// countingWriter writes to a connection and adds the number of bytes written to total.
type countingWriter struct {
	conn  net.Conn
	total *atomic.Uint64
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.total.Add(uint64(n))
	return n, err
}
