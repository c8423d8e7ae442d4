package sock

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// fill writes to a connection whose peer does not read until nothing more is taken, and returns how many bytes were.
func fill(t *testing.T, conn net.Conn, buffer *SendBuffer) (written int) {
	t.Helper()
	chunk := bytes.Repeat([]byte("x"), 4<<10)
	for range 16 << 10 {
		buffer.Writes(conn, len(chunk))
		conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		n, err := conn.Write(chunk)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return written
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	t.Fatalf("%d bytes are not read, and more is taken", written)
	return 0
}

// pairOf returns the two ends of a connection that a listener with small buffers has accepted.
func pairOf(t *testing.T, listener net.Listener) (accepted, peer net.Conn) {
	t.Helper()
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	SetBuffers(peer, 4<<10) // what is taken lies on the other side
	if accepted, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return accepted, peer
}

// What the kernel takes of a message that nobody reads is bounded; a larger buffer is lent while there is one, and given back.
func TestTheKernelTakesNoMoreThanTheBuffers(t *testing.T) {
	const usual = 8 << 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	SetBuffers(RetryAccept(listener, nil), usual)
	lender := NewSendBuffers(usual, 2*lentBufferBytes) // one
	var first, second SendBuffer
	first.Init(lender)
	second.Init(lender)
	accepted, peer := pairOf(t, listener)
	other, _ := pairOf(t, listener)
	borrowed := fill(t, accepted, &first)
	own := fill(t, other, &second)
	if borrowed <= lentBufferBytes/2 || own > 256<<10 || own >= borrowed {
		t.Errorf("%d bytes were taken with a larger buffer, %d without", borrowed, own)
	}
	first.Rests(accepted)
	if lender.lent.Load() == 0 {
		t.Error("the buffer is given back though it is full")
	}
	go io.Copy(io.Discard, peer)
	for deadline := time.Now().Add(20 * time.Second); lender.lent.Load() > 0 && time.Now().Before(deadline); {
		first.Rests(accepted)
	}
	first.Ends()
	second.Ends()
	if lent := lender.lent.Load(); lent != 0 {
		t.Errorf("%d bytes are lent after the end", lent)
	}
}

func TestBuffersShareAMemory(t *testing.T) {
	for _, c := range []struct {
		memory        int64
		buffers, want int
	}{{0, 10, 0}, {1 << 20, 32, 32 << 10}, {1 << 20, 10_000, minBufferBytes}, {1 << 30, 2, maxBufferBytes}} {
		if got := BufferBytes(c.memory, c.buffers); got != c.want {
			t.Errorf("%d buffers of %d bytes: %d", c.buffers, c.memory, got)
		}
	}
}
