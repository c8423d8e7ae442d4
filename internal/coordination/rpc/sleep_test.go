package rpc

import (
	"context"
	"testing"
	"time"
)

// A wait that passes lets the caller go on; a context that has ended, before or meanwhile, does not.
func TestSleep(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	soon, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	for _, c := range []struct {
		ctx  context.Context
		d    time.Duration
		want bool
	}{
		{context.Background(), 0, true}, {context.Background(), time.Millisecond, true},
		{ended, 0, false}, {ended, time.Hour, false}, {soon, time.Hour, false},
	} {
		began := time.Now()
		if got := Sleep(c.ctx, c.d); got != c.want || got && time.Since(began) < c.d {
			t.Errorf("%v, %v: %v after %v", c.ctx, c.d, got, time.Since(began))
		}
	}
}
