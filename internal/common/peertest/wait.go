package peertest

import (
	"os"
	"testing"
	"time"

	"petrelhook/internal/common/await"
)

// EventTimeout bounds a wait for an event that must happen. No test waits so long when it passes.
const EventTimeout = await.Timeout

// Eventually is await.Eventually, for tests that use this package's peers.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	await.Eventually(t, what, ok)
}

// Wait receives a value that must come within EventTimeout; else it fails the test. It is called from the test's goroutine.
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

// SkipUnlessMeasuring skips a measurement unless FIGURES is set: measurements are not part of the checks.
func SkipUnlessMeasuring(t testing.TB) {
	if os.Getenv("FIGURES") == "" {
		t.Skip("FIGURES=1 measures")
	}
}
