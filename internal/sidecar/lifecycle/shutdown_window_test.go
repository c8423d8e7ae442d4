package lifecycle

import (
	"testing"
	"time"
)

// A request that is read after SIGTERM is answered before the process ends, however late it arrives.
func TestRequestsReadLateAreAnsweredInTime(t *testing.T) {
	began := time.Unix(1000, 0)
	window := ShutdownWindow{Began: began, AcceptTime: 600 * time.Millisecond, MaxDeadline: 3 * time.Second}
	for _, c := range []struct{ read, wait, want time.Duration }{
		{0, 3 * time.Second, 3 * time.Second},
		{400 * time.Millisecond, 3 * time.Second, 3 * time.Second},
		{700 * time.Millisecond, 3 * time.Second, 2800 * time.Millisecond},
		{700 * time.Millisecond, time.Second, time.Second},
		{3400 * time.Millisecond, time.Second, 100 * time.Millisecond},
		{3550 * time.Millisecond, time.Second, 0},
		{4 * time.Second, time.Second, 0},
	} {
		if got := window.ClampWait(began.Add(c.read), c.wait); got != c.want {
			t.Errorf("read after %v, waiting %v: %v, want %v", c.read, c.wait, got, c.want)
		}
	}
	if window.Duration() >= window.MaxDeadline+700*time.Millisecond { // the platform may kill the process from then on
		t.Errorf("the process ends after %v", window.Duration())
	}
}
