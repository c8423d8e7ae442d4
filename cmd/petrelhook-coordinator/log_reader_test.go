package main

import (
	"syscall"
	"testing"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/rig/process"
)

func TestACoordinatorOutlivesTheReaderOfItsLog(t *testing.T) {
	process.CheckOutlivesLogReader(t, process.Self(roleVariable, "coordinator", "--data", t.TempDir(), "--listen", "127.0.0.1:0"), "serving")
}

func TestACoordinatorServesWhileItsLogIsNotRead(t *testing.T) {
	address := peertest.ReserveAddr(t)
	cmd := process.Self(roleVariable, "coordinator", "--data", t.TempDir(), "--listen", address)
	log := process.FullPipe(t)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have ended
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	peertest.Eventually(t, "the coordinator answers", func() bool {
		_, err := call(t.Context(), address, fleet.Request{Version: fleet.Version, ListLimits: true})
		return err == nil
	})
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := peertest.Wait(t, ended); err != nil {
		t.Error(err)
	}
}
