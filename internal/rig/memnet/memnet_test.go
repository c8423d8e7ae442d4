package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/rig/bubble"
)

const latency = time.Millisecond

// connected is both sides of a connection on a network of its own.
func connected(t *testing.T) (n *Network, client, server net.Conn) {
	t.Helper()
	n = New(latency)
	ln, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if client, err = n.Dial(t.Context(), "tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return n, client, server
}

// runInBubble runs a subtest in virtual time.
func runInBubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { bubble.Test(t, f) })
}

// Connections end as those of TCP do: the sidecar draws conclusions from that.
func TestEndsAreThoseOfTCP(t *testing.T) {
	buf := make([]byte, 16)
	runInBubble(t, "close: the remaining bytes, then the end of file", func(t *testing.T) {
		_, client, server := connected(t)
		client.Write([]byte("hi"))
		client.Close()
		if text, err := io.ReadAll(server); string(text) != "hi" || err != nil {
			t.Errorf("%q, %v", text, err)
		}
	})
	runInBubble(t, "half close: the other direction stays", func(t *testing.T) {
		_, client, server := connected(t)
		client.(*Conn).CloseWrite()
		io.ReadAll(server)
		server.Write([]byte("bye"))
		if n, err := client.Read(buf); string(buf[:n]) != "bye" || err != nil {
			t.Errorf("%q, %v", buf[:n], err)
		}
	})
	runInBubble(t, "close with bytes unread: a reset", func(t *testing.T) {
		_, client, server := connected(t)
		client.Write([]byte("hi"))
		time.Sleep(2 * latency)
		server.Close()
		if _, err := client.Read(buf); !errors.Is(err, syscall.ECONNRESET) {
			t.Error(err)
		}
	})
	runInBubble(t, "no linger: a reset", func(t *testing.T) {
		_, client, server := connected(t)
		server.(*Conn).SetLinger(0)
		server.Close()
		if _, err := client.Read(buf); !errors.Is(err, syscall.ECONNRESET) {
			t.Error(err)
		}
		if _, err := client.Write([]byte("hi")); !errors.Is(err, syscall.EPIPE) {
			t.Error(err)
		}
	})
	runInBubble(t, "written to after its close: the write passes, then a reset", func(t *testing.T) {
		_, client, server := connected(t)
		server.Close()
		if _, err := client.Write([]byte("hi")); err != nil {
			t.Error(err)
		}
		time.Sleep(3 * latency)
		if _, err := client.Write([]byte("hi")); !errors.Is(err, syscall.EPIPE) {
			t.Error(err)
		}
	})
	runInBubble(t, "no listener: refused", func(t *testing.T) {
		if _, err := New(latency).Dial(t.Context(), "tcp", "127.0.0.1:9"); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Error(err)
		}
	})
}

func TestDeadlinesAndBuffers(t *testing.T) {
	runInBubble(t, "a read waits no longer than its deadline", func(t *testing.T) {
		_, client, _ := connected(t)
		began := time.Now()
		client.SetReadDeadline(began.Add(time.Second))
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(began) != time.Second {
			t.Error(err, time.Since(began))
		}
	})
	runInBubble(t, "a deadline set meanwhile ends a read", func(t *testing.T) {
		_, client, _ := connected(t)
		time.AfterFunc(time.Second, func() { client.SetReadDeadline(time.Now()) })
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error(err)
		}
	})
	runInBubble(t, "a writer waits for a slow reader", func(t *testing.T) {
		_, client, server := connected(t)
		client.Write(make([]byte, maxBuffered))
		client.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := client.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error(err)
		}
		client.SetWriteDeadline(time.Time{})
		io.ReadFull(server, make([]byte, maxBuffered))
		if _, err := client.Write([]byte("x")); err != nil {
			t.Error(err)
		}
	})
	runInBubble(t, "a connection with unread bytes is not quiet", func(t *testing.T) {
		_, client, server := connected(t)
		if !server.(*Conn).Quiet() {
			t.Error("not quiet at first")
		}
		client.Write([]byte("hi"))
		time.Sleep(latency / 2)
		if !server.(*Conn).Quiet() {
			t.Error("not quiet before it arrives")
		}
		time.Sleep(latency)
		if server.(*Conn).Quiet() {
			t.Error("quiet with bytes unread")
		}
	})
}

// The peer of an isolated machine learns of a close when the machine is restored.
func TestCloseDuringIsolation(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n, client, server := connected(t)
		addr := client.RemoteAddr().String()
		n.Isolate(addr)
		server.Close()
		client.SetReadDeadline(time.Now().Add(time.Minute))
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("the peer learned of it too early:", err)
		}
		client.SetReadDeadline(time.Time{})
		n.Restore(addr)
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Error(err)
		}
	})
}

// An isolated machine sends and accepts nothing; when it is restored, its old connections are reset.
func TestIsolatedMachine(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n, client, server := connected(t)
		addr := client.RemoteAddr().String()
		n.Isolate(addr)
		client.Write([]byte("hi"))
		server.Write([]byte("hi"))
		client.SetReadDeadline(time.Now().Add(time.Minute))
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("bytes of an isolated machine arrived:", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := n.Dial(ctx, "tcp", addr); !errors.Is(err, context.DeadlineExceeded) {
			t.Error("a connection to an isolated machine:", err)
		}
		client.SetReadDeadline(time.Time{})
		n.Restore(addr)
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Error(err)
		}
		client.Close()
		server.Close()
		if n.Open() != 0 {
			t.Error("connections are still counted as open:", n.Open())
		}
	})
}
