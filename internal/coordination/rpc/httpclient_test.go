package rpc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"petrelhook/internal/rig/bubble"
)

// DialTimeout limits a connection attempt of a custom Dial function even if the request has no deadline.
func TestDialTimeoutOfAGivenNetwork(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		hangingDial := func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
		client := NewHTTPClient(HTTPOptions{Dial: hangingDial, DialTimeout: time.Second})
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://127.0.0.1:1/", nil)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := client.Do(request); !errors.Is(err, context.DeadlineExceeded) || time.Since(start) != time.Second {
			t.Errorf("got error %v after %v, want a deadline error after 1s", err, time.Since(start))
		}
	})
}
