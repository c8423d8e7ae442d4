package node

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// uncountedHeadBytes is the size up to which the head of a request takes no reserved memory: most are far shorter.
	uncountedHeadBytes = 16 << 10
	// memoryPerHeadByte is how many bytes of memory a byte of a head takes: in a buffer that is doubled, and in strings.
	memoryPerHeadByte = 2
)

// errNoHeadMemory ends a connection without a response: it has the type that net/http takes for a broken connection.
var errNoHeadMemory = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("no memory is left for the head of a request")}

// memoryReserver bounds the memory of requests. Its methods may be called from any goroutine.
type memoryReserver interface {
	// ReserveMemory reserves bytes and reports whether that was possible.
	ReserveMemory(bytes int64) bool
	// ReleaseMemory returns reserved bytes.
	ReleaseMemory(bytes int64)
}

// headListener accepts connections that reserve memory for long heads of requests while these arrive: net/http reads a whole head before
// anything can reject it, and many connections may send long ones at the same time.
type headListener struct {
	net.Listener
	memory memoryReserver
}

// Accept implements net.Listener.
func (l headListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: conn, memory: l.memory, inHead: true}, nil
}

// headConn is a connection of an HTTP server. Its reads end with errNoHeadMemory if no memory is left for the head that is being read.
type headConn struct {
	net.Conn
	memory memoryReserver

	mutex         sync.Mutex
	inHead        bool // the next bytes belong to a head
	headBytes     int64
	reservedBytes int64
}

// Read implements net.Conn.
func (c *headConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && !c.countRead(int64(n)) {
		return 0, errNoHeadMemory
	}
	return n, err
}

// CloseWrite closes the direction to the client. net/http does that before it closes a connection whose request it has not read completely,
// so that the client gets the response.
func (c *headConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// countRead counts bytes that were read, and reports whether there is memory for them.
func (c *headConn) countRead(bytes int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.inHead {
		return true
	}
	c.headBytes += bytes
	if c.headBytes <= uncountedHeadBytes {
		return true
	}
	if !c.memory.ReserveMemory(memoryPerHeadByte * bytes) {
		return false
	}
	c.reservedBytes += memoryPerHeadByte * bytes
	return true
}

// endHead begins the body of a request. The memory of the head stays reserved.
func (c *headConn) endHead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inHead = false
}

// endRequest releases the memory of a head. What is read next belongs to another one.
func (c *headConn) endRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.memory.ReleaseMemory(c.reservedBytes)
	c.reservedBytes, c.headBytes, c.inHead = 0, 0, true
}

// headConnKey is the key of the headConn in the context of its requests.
type headConnKey struct{}

// countHeads makes a server tell its headConns where heads and requests end.
func countHeads(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, headConnKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*headConn); ok && (state == http.StateIdle || state == http.StateClosed) {
			c.endRequest()
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(headConnKey{}).(*headConn); ok {
			c.endHead()
		}
		handler.ServeHTTP(w, r)
	})
}
