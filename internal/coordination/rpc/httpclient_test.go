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

// A connection attempt on a given network ends with the time-out of its own, also where the call has none.
func TestDialTimeoutOfAGivenNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		never := func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
		client := NewHTTPClient(HTTPOptions{Dial: never, DialTimeout: time.Second})
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://127.0.0.1:1/", nil)
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if _, err := client.Do(request); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
	})
}
