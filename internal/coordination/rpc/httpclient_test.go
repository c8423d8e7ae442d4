package rpc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// DialTimeout bounds a connection attempt by a given Dial function, also if the call itself has no timeout.
func TestDialTimeoutOfAGivenNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hangingDial := func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
		client := NewHTTPClient(HTTPOptions{Dial: hangingDial, DialTimeout: time.Second})
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://127.0.0.1:1/", nil)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := client.Do(request); !errors.Is(err, context.DeadlineExceeded) || time.Since(start) != time.Second {
			t.Errorf("%v after %v", err, time.Since(start))
		}
	})
}
