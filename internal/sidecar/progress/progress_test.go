package progress

import (
	"testing"
	"time"
)

// Peers of the same mean pace in pieces of any size are served; one that stops, or drips, is ended in time.
func TestWhoIsServed(t *testing.T) {
	for _, c := range []struct {
		name  string
		piece int
		every time.Duration
		ended time.Duration // 0: never
	}{
		{"64 kB a second at once", 64000, time.Second, 0},
		{"... in small pieces", 64, time.Millisecond, 0},
		{"... byte by byte", 1, 15625 * time.Nanosecond, 0},
		{"half of the least", 500, 100 * time.Millisecond, 2 * time.Second},
		{"nothing", 0, 100 * time.Millisecond, 2 * time.Second},
	} {
		p := Deadline{MinBytes: 32 << 10, Interval: 2 * time.Second}
		start := time.Unix(1000, 0)
		p.Start(start)
		ended := time.Duration(0)
		for at := c.every; at < 10*time.Second; at += c.every {
			if now := start.Add(at); now.After(p.Expires()) {
				ended = p.Expires().Sub(start)
				break
			} else {
				p.Progressed(c.piece, now)
			}
		}
		if ended != c.ended {
			t.Errorf("%s: ended after %v, want %v", c.name, ended, c.ended)
		}
	}
}
