package transport

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"sync/atomic"
)

// connection is one to a peer, with the encoder that belongs to it: gob sends each type's description once a
// connection.
type connection struct {
	conn    net.Conn
	writer  *bufio.Writer
	encoder *gob.Encoder
}

// dial returns a connection to a router, or nil.
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

// closeWithPeer closes a connection as soon as its peer does. The peer never writes to it, so a read ends with the
// connection alone.
func (t *Transport) closeWithPeer(conn net.Conn) {
	var unused [1]byte
	_, _ = conn.Read(unused[:])
	t.closeConnection(conn)
}

// countingWriter writes to a connection and counts the bytes.
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
