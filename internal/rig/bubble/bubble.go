// Package bubble runs tests in bubbles of virtual time, as testing/synctest does, and keeps the race detector from crashing them.
//
// The Go runtime keeps one context of the race detector for all timers of a bubble (runtime.timer.unlockAndRun, Go 1.26). A goroutine that
// receives from a timer which expired while nothing waited for it uses that context on its own thread. Two goroutines that do so at the same
// moment corrupt the race detector: it ends the process with "CHECK failed" or a segmentation violation, whatever the test does. With one
// processor for Go code no two threads are there at once, and the race detector finds races as before, because it compares
// synchronization and not the moments of accesses. Without the race detector both functions are synctest.Test.
package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"

	"petrelhook/internal/rig/racedetector"
)

// Test runs a test in a bubble as synctest.Test does. With the race detector, Go code has one processor in the complete process until the
// test ends; tests that run in parallel should use TestInProcess.
func Test(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	if racedetector.Enabled {
		useOneProcessor()
		defer restoreProcessors()
	}
	synctest.Test(t, test)
}

// oneProcessor counts the bubbles in progress that need runtime.GOMAXPROCS to be 1.
var oneProcessor struct {
	mutex   sync.Mutex
	bubbles int
	before  int // runtime.GOMAXPROCS without bubbles
}

// useOneProcessor sets runtime.GOMAXPROCS to 1 until restoreProcessors has been called as often as it.
func useOneProcessor() {
	oneProcessor.mutex.Lock()
	defer oneProcessor.mutex.Unlock()
	if oneProcessor.bubbles == 0 {
		oneProcessor.before = runtime.GOMAXPROCS(1)
	}
	oneProcessor.bubbles++
}

func restoreProcessors() {
	oneProcessor.mutex.Lock()
	defer oneProcessor.mutex.Unlock()
	oneProcessor.bubbles--
	if oneProcessor.bubbles == 0 {
		runtime.GOMAXPROCS(oneProcessor.before)
	}
}
