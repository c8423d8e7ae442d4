//go:build cgo

package hangup

import (
	"os"
	"syscall"
	"testing"

	"petrelhook/internal/rig/process"
)

const roleVariable = "PETRELHOOK_HANGUP_TEST"

// Runs before main, as the initialization of any package does: the process sends itself SIGHUP there.
var _ = func() bool {
	if os.Getenv(roleVariable) == "" {
		return true
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		panic(err)
	}
	os.Exit(0)
	return true
}()

func TestASighupBeforeMainEndsNoProcess(t *testing.T) {
	if out, err := process.Self(roleVariable, "hangup").CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
}
