package bubble

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/rig/process"
	"petrelhook/internal/rig/racedetector"
)

const (
	// nameVariable is the environment variable with the name of the test that a process was started for.
	nameVariable = "PETRELHOOK_BUBBLE_TEST"
	// reportTime is left to the test that waits, so that it reports a process that ran into its time-out.
	reportTime = 5 * time.Second
)

// TestInProcess runs a test in a bubble as Test does. With the race detector it starts the test's own program once more, for this test
// alone, and fails if the test fails or does not run there; so several may run in parallel on all processors. Everything that the calling
// test does before the call is done in both processes.
func TestInProcess(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	if !racedetector.Enabled || os.Getenv(nameVariable) == t.Name() {
		Test(t, test)
		return
	}
	cmd := process.Self(nameVariable, t.Name(), arguments(t)...)
	output, err := cmd.CombinedOutput()
	switch {
	case err != nil:
		t.Errorf("in a process of its own: %v\n%s", err, output)
	case !strings.Contains(string(output), "--- PASS: "+t.Name()+" ("):
		t.Errorf("a process of its own did not run the test:\n%s", output)
	case testing.Verbose():
		t.Logf("in a process of its own:\n%s", output)
	}
}

// arguments are those of this process, changed so that a test runs alone and once, and writes no files that this process writes. Later
// arguments override earlier ones.
func arguments(t *testing.T) []string {
	changed := append(os.Args[1:len(os.Args):len(os.Args)], "-test.run="+pattern(t.Name()), "-test.v=true", "-test.count=1",
		"-test.testlogfile=", "-test.coverprofile=", "-test.cpuprofile=", "-test.memprofile=", "-test.blockprofile=",
		"-test.mutexprofile=", "-test.trace=")
	if deadline, ok := t.Deadline(); ok {
		changed = append(changed, fmt.Sprintf("-test.timeout=%v", max(time.Until(deadline)-reportTime, reportTime)))
	}
	return changed
}

// pattern is the value of -test.run that matches a test alone. Each part of a test's name is matched by itself.
func pattern(name string) string {
	parts := strings.Split(name, "/")
	for i, part := range parts {
		parts[i] = "^" + regexp.QuoteMeta(part) + "$"
	}
	return strings.Join(parts, "/")
}
