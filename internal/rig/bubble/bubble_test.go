package bubble_test

import (
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/rig/process"
)

const (
	receivers = 64
	ticks     = 300
	bubbles   = 5
)

// receiveExpired lets many goroutines receive at the same moment from timers that expired while nothing waited for them.
func receiveExpired(t *testing.T) {
	for range receivers {
		go func() {
			ticker := time.NewTicker(time.Millisecond)
			defer ticker.Stop()
			for range ticks {
				time.Sleep(2 * time.Millisecond) // of virtual time: the ticker expires meanwhile
				<-ticker.C
			}
		}()
	}
	synctest.Wait()
	time.Sleep(time.Second)
}

// Guards against the crash of the race detector when goroutines of one bubble receive from expired timers on several threads.
func TestExpiredTimersDoNotCrashTheRaceDetector(t *testing.T) {
	for range bubbles {
		bubble.Test(t, receiveExpired)
	}
}

// The same crash, with two such bubbles in parallel.
func TestExpiredTimersInProcesses(t *testing.T) {
	for _, name := range []string{"first", "second (with a pattern's characters) [a-z]+$"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bubble.TestInProcess(t, receiveExpired)
		})
	}
}

// failVariable makes TestThatFails fail.
const failVariable = "PETRELHOOK_BUBBLE_TEST_FAILS"

// TestThatFails fails if TestAFailureIsPassedOn asks for it.
func TestThatFails(t *testing.T) {
	bubble.TestInProcess(t, func(t *testing.T) {
		if os.Getenv(failVariable) != "" {
			t.Error("fails as it should")
		}
	})
}

// Guards against a failure that stays in the process that the test runs in.
func TestAFailureIsPassedOn(t *testing.T) {
	cmd := process.Self(failVariable, "yes", "-test.run=^TestThatFails$")
	output, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(output), "fails as it should") {
		t.Errorf("a test failed in its bubble, and its program ended with %v:\n%s", err, output)
	}
}
