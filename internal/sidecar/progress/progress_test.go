package progress

import (
	"testing"
	"time"
)

// A peer with the same mean rate, in chunks of any size, is never timed out; one that stops, or is too slow, is in time.
func TestDeadline(t *testing.T) {
	for _, c := range []struct {
		name  string
		chunk int
		every time.Duration
		ended time.Duration // 0: never
	}{
		{"64 kB a second at once", 64000, time.Second, 0},
		{"... in small chunks", 64, time.Millisecond, 0},
		{"... byte by byte", 1, 15625 * time.Nanosecond, 0},
		{"half of the minimum", 500, 100 * time.Millisecond, 2 * time.Second},
		{"nothing", 0, 100 * time.Millisecond, 2 * time.Second},
	} {
		deadline := Deadline{MinBytes: 32 << 10, Interval: 2 * time.Second}
		start := time.Unix(1000, 0)
		deadline.Start(start)
		ended := time.Duration(0)
		for at := c.every; at < 10*time.Second; at += c.every {
			if now := start.Add(at); now.After(deadline.Expires()) {
				ended = deadline.Expires().Sub(start)
				break
			} else {
				deadline.Progressed(c.chunk, now)
			}
		}
		if ended != c.ended {
			t.Errorf("%s: ended after %v, want %v", c.name, ended, c.ended)
		}
	}
}
