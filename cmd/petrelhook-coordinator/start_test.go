package main

import (
	"net"
	"syscall"
	"testing"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/replica/disk"
	"petrelhook/internal/rig/process"
)

// waitForStart waits until a coordinator waits for a condition to pass, ends the condition, and checks that the coordinator answers and
// exits with code 0.
func waitForStart(t *testing.T, p *process.Process, address, condition string, end func() error) {
	t.Helper()
	peertest.Eventually(t, "the start waits", func() bool {
		if len(p.Ended) > 0 {
			t.Fatal("the coordinator has ended")
		}
		return p.Log.Has("the start waits") && p.Log.Has(condition)
	})
	if err := end(); err != nil {
		t.Fatal(err)
	}
	peertest.Eventually(t, "the coordinator answers", func() bool {
		_, err := call(t.Context(), address, fleet.Request{Version: fleet.Version, ListLimits: true})
		return err == nil
	})
	terminate(t, p)
}

// terminate sends SIGTERM to a coordinator and checks that it exits with code 0.
func terminate(t *testing.T, p *process.Process) {
	t.Helper()
	if err := p.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := peertest.Wait(t, p.Ended); err != nil {
		t.Error(err)
	}
}

func TestACoordinatorWaitsForAnAddressInUse(t *testing.T) {
	user, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := user.Addr().String()
	p := start(t, "coordinator", nil, "--data", t.TempDir(), "--listen", address)
	waitForStart(t, p, address, "address already in use", user.Close)
}

func TestACoordinatorWaitsForTheDiskOfItsPredecessor(t *testing.T) {
	address, folder := peertest.ReserveAddr(t), t.TempDir()
	terminate(t, startServing(t, address, folder))
	predecessor, _, err := disk.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	p := start(t, "coordinator", nil, "--data", folder, "--listen", address)
	waitForStart(t, p, address, "locked by another process", predecessor.Close)
}

// startServing starts a coordinator and waits until it answers.
func startServing(t *testing.T, address, folder string) *process.Process {
	t.Helper()
	p := start(t, "coordinator", nil, "--data", folder, "--listen", address)
	peertest.Eventually(t, "the coordinator answers", func() bool {
		_, err := call(t.Context(), address, fleet.Request{Version: fleet.Version, ListLimits: true})
		return err == nil
	})
	return p
}

func TestACoordinatorThatWaitsEndsWithSigterm(t *testing.T) {
	user, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer user.Close()
	p := start(t, "coordinator", nil, "--data", t.TempDir(), "--listen", user.Addr().String())
	peertest.Eventually(t, "the start waits", func() bool { return p.Log.Has("the start waits") })
	terminate(t, p)
}
