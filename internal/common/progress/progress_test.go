package progress

import (
	"testing"
	"time"
)

// A peer that is fast enough on average never times out, whatever the size of its chunks. A peer that stops or is too slow times
// out at the end of the interval.
func TestDeadline(t *testing.T) {
	for _, c := range []struct {
		name          string
		chunkBytes    int
		every         time.Duration
		timedOutAfter time.Duration // the expected time; 0: never
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
		timedOutAfter := time.Duration(0)
		for at := c.every; at < 10*time.Second; at += c.every {
			if now := start.Add(at); now.After(deadline.Expires()) {
				timedOutAfter = deadline.Expires().Sub(start)
				break
			} else {
				deadline.Progressed(c.chunkBytes, now)
			}
		}
		if timedOutAfter != c.timedOutAfter {
			t.Errorf("%s: timed out after %v, want %v", c.name, timedOutAfter, c.timedOutAfter)
		}
	}
}
