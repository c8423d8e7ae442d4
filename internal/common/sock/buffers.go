package sock

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// Bounds of BufferBytes. The kernel accepts no smaller buffers, and larger ones help no client.
const (
	minBufferBytes = 4 << 10
	maxBufferBytes = 256 << 10
)

// BufferBytes returns the size of each of so many buffers of connections which together take no more than memoryBytes; 0 for no limit on the
// memory. A buffer is never smaller than 4 KiB, also where the memory does not suffice for that.
func BufferBytes(memoryBytes int64, buffers int) int {
	if memoryBytes <= 0 {
		return 0
	}
	return int(min(max(memoryBytes/int64(buffers), minBufferBytes), maxBufferBytes))
}

// SetBuffers sets the sizes of the two buffers that the kernel keeps for a connection, in bytes of messages; 0 leaves them to the kernel. The
// connections of a listener take over its sizes. Where the kernel cannot be told it keeps its own sizes.
func SetBuffers(connOrListener any, bytes int) {
	if bytes <= 0 {
		return
	}
	setBuffer(connOrListener, syscall.SO_RCVBUF, bytes)
	setBuffer(connOrListener, syscall.SO_SNDBUF, bytes)
}

// SetSendBuffer sets the size of the buffer for what is sent, as SetBuffers does for both.
func SetSendBuffer(conn net.Conn, bytes int) { setBuffer(conn, syscall.SO_SNDBUF, bytes) }

// setBuffer sets the size of one buffer.
func setBuffer(connOrListener any, option, bytes int) {
	_ = control(connOrListener, func(fd int) error { return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, option, bytes) })
}

// lentBufferBytes is the size of a send buffer that SendBuffers lends. The kernel holds up to twice as much.
const lentBufferBytes = 128 << 10

// SendBuffers lends larger send buffers to connections whose messages do not fit into their own ones, as long as all of them together stay
// within a limit. SendBuffer is what a connection has of them. A nil value lends none.
type SendBuffers struct {
	usualBytes int
	limit      int64 // bytes
	lent       atomic.Int64
}

// NewSendBuffers returns the larger buffers, in limit bytes, for connections whose own buffers have usualBytes; 0 means that the kernel
// chooses, and then none are needed.
func NewSendBuffers(usualBytes int, limit int64) *SendBuffers {
	if usualBytes <= 0 {
		return nil
	}
	return &SendBuffers{usualBytes: usualBytes, limit: limit}
}

// lend reserves a larger buffer and reports whether there is one.
func (s *SendBuffers) lend() bool {
	if s.lent.Add(2*lentBufferBytes) > s.limit {
		s.lent.Add(-2 * lentBufferBytes)
		return false
	}
	return true
}

// SendBuffer is the use that one connection makes of SendBuffers. Its methods may be called from any goroutine; they do nothing for the zero
// value.
type SendBuffer struct {
	lender  *SendBuffers // nil: none
	written atomic.Int64 // bytes of the message in progress

	mutex           sync.Mutex
	borrowed, ended bool
}

// Init sets where a larger buffer comes from. It is called first.
func (b *SendBuffer) Init(lender *SendBuffers) { b.lender = lender }

// Writes records that bytes of a message are about to be written. The connection gets a larger buffer once they do not fit into its own one.
func (b *SendBuffer) Writes(conn net.Conn, bytes int) {
	if b.lender == nil || b.written.Add(int64(bytes)) <= int64(b.lender.usualBytes) {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.borrowed && !b.ended && b.lender.lend() {
		b.borrowed = true
		setBuffer(conn, syscall.SO_SNDBUF, lentBufferBytes)
	}
}

// Rests records that the message has been written. The larger buffer is given back once the peer has acknowledged everything.
func (b *SendBuffer) Rests(conn net.Conn) {
	if b.lender == nil {
		return
	}
	b.written.Store(0)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.borrowed && !Unsent(conn) {
		setBuffer(conn, syscall.SO_SNDBUF, b.lender.usualBytes)
		b.giveBack()
	}
}

// Ends records that the connection is closed.
func (b *SendBuffer) Ends() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ended = true
	if b.borrowed {
		b.giveBack()
	}
}

// giveBack returns the larger buffer. The caller holds the mutex.
func (b *SendBuffer) giveBack() {
	b.borrowed = false
	b.lender.lent.Add(-2 * lentBufferBytes)
}
