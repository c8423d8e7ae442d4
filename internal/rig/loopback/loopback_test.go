package loopback

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// An isolated machine neither sends nor accepts nor refuses anything until it is restored.
func TestIsolatedMachine(t *testing.T) {
	n := New()
	ln, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	addr := ln.Addr().String()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	client, err := n.Dial(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server := <-accepted
	defer server.Close()
	client2, err := n.Dial(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer client2.Close()
	server2 := <-accepted
	n.Isolate(addr)
	server2.Close() // the peer does not learn of it yet
	client2.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := client2.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the peer learned of a close of an isolated machine: %v", err)
	}
	server.Write([]byte("x"))
	client.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("bytes of an isolated machine arrived: %v", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := n.Dial(ctx, "tcp", addr); err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("an isolated machine answered: %v", err)
	}
	n.Restore(addr)
	client.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("its old connections are not reset: %v", err)
	}
	client2.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := client2.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a connection that it closed meanwhile is not reset: %v", err)
	}
	again, err := n.Dial(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatalf("it is not restored: %v", err)
	}
	again.Close()
}

func TestLoopbackRefusesOtherAddresses(t *testing.T) {
	n := New()
	for _, addr := range []string{"0.0.0.0:0", "10.0.0.1:80", "localhost:80", "[::1]:0", "127.0.0.1"} {
		if _, err := n.Listen(addr); err == nil {
			t.Errorf("%s is listened at", addr)
		}
		if _, err := n.Dial(t.Context(), "tcp", addr); err == nil {
			t.Errorf("%s is dialled", addr)
		}
	}
}
