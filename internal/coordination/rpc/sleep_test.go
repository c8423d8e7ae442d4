package rpc

import (
	"context"
	"testing"
	"time"
)

// Sleep returns true after the full wait, and false if the context has ended before or ends meanwhile.
func TestSleep(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	expiring, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	for _, c := range []struct {
		ctx  context.Context
		d    time.Duration
		want bool
	}{
		{context.Background(), 0, true}, {context.Background(), time.Millisecond, true},
		{canceled, 0, false}, {canceled, time.Hour, false}, {expiring, time.Hour, false},
	} {
		start := time.Now()
		if got := Sleep(c.ctx, c.d); got != c.want || got && time.Since(start) < c.d {
			t.Errorf("%v, %v: %v after %v", c.ctx, c.d, got, time.Since(start))
		}
	}
}
