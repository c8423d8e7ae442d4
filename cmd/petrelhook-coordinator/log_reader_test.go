package main

import (
	"testing"

	"petrelhook/internal/rig/process"
)

func TestACoordinatorOutlivesTheReaderOfItsLog(t *testing.T) {
	process.CheckOutlivesLogReader(t, process.Self(roleVariable, "coordinator", "--data", t.TempDir(), "--listen", "127.0.0.1:0"), "serving")
}
