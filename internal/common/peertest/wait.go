package peertest

import (
	"os"
	"testing"
	"time"

	"petrelhook/internal/common/await"
)

// EventTimeout bounds the wait for an event that must happen. A test that passes never waits that long.
const EventTimeout = await.Timeout

// Eventually calls await.Eventually. It is here for tests that use this package's peers.
func Eventually(t testing.TB, condition string, ok func() bool) {
	t.Helper()
	await.Eventually(t, condition, ok)
}

// Wait returns the next value of a channel, and ends the test if none is received within EventTimeout. It is called from the
// test's goroutine.
func Wait[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(EventTimeout):
		t.Fatalf("nothing was received within %v", EventTimeout)
		panic("not reached")
	}
}

// SkipUnlessMeasuring skips a test that only measures unless the environment variable FIGURES is set, because measurements check
// nothing.
func SkipUnlessMeasuring(t testing.TB) {
	if os.Getenv("FIGURES") == "" {
		t.Skip("set FIGURES=1 to run this measurement")
	}
}
