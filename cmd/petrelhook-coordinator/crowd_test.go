//go:build load

package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"connectrpc.com/connect"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/rig/abuse"
)

// slowBytesPerSecond is a little more than the 4 KiB a second below which a client counts as one without progress.
const slowBytesPerSecond = 6 << 10

// The memory limit of the coordinator that the crowds meet, and the sizes of the crowds. A message of another coordinator may have 64 MB.
const (
	loadedMemoryMb = 192
	stepBytes      = 64 << 20
	crowdOfCallers = 300
	crowdOfPeers   = 30
)

// startLoaded starts a coordinator with a memory limit; 0: that of settings without one.
func startLoaded(t *testing.T, memoryMb int) abuse.Target {
	address, folder := peertest.ReserveAddr(t), t.TempDir()
	file := filepath.Join(folder, "fleet.yaml")
	limit := ""
	if memoryMb > 0 {
		limit = fmt.Sprintf("memory_mb: %d\n", memoryMb)
	}
	text := fmt.Sprintf("id: 1\ndata: data\n%sreplicas: [{id: 1, address: %q}]\n", limit, address)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := start(t, "coordinator", nil, "--config", file)
	answers := func() bool {
		_, err := call(t.Context(), address, fleet.Request{Version: fleet.Version, ListLimits: true})
		return err == nil
	}
	peertest.Eventually(t, "the coordinator answers", answers)
	return abuse.Target{Address: address, PID: p.Pid, Ended: p.Ended, MemoryMb: memoryMb, Answers: answers}
}

// bearInTurn checks that a coordinator bears all behaviours at one of its paths, one after the other.
func bearInTurn(t *testing.T, path string, bodyBytes, clients int) {
	startLoaded(t, loadedMemoryMb).BearInTurn(t, clients, abuse.Of(abuse.Call(path), abuse.Limits{HeadBytes: 1 << 20, BodyBytes: bodyBytes, SlowBytesPerSecond: slowBytesPerSecond}))
}

func TestCoordinatorCrowdsOfCallers(t *testing.T) {
	bearInTurn(t, fleet.PathRequest, 1<<20, crowdOfCallers)
}

func TestCoordinatorCrowdsAtThePathOfOtherCoordinators(t *testing.T) {
	bearInTurn(t, fleet.PathStep, stepBytes, crowdOfPeers)
}

// A message of the largest size that comes alone is read and handled, with the memory limit of settings without one: a replica that gets no
// snapshot never follows the others.
func TestCoordinatorServesTheLargestMessageAlone(t *testing.T) {
	target := startLoaded(t, 0)
	meter := abuse.Watch(t, target.PID, target.Address)
	const stranger = 2
	request := fleet.StepRequest{Version: fleet.Version, From: stranger, To: stranger, Messages: [][]byte{make([]byte, stepBytes/4*3-4096)}} // base64 takes 4/3
	_, err := fleet.Client[fleet.StepRequest, fleet.Empty](http.DefaultClient, target.Address, fleet.PathStep).
		CallUnary(t.Context(), connect.NewRequest(&request))
	if connect.CodeOf(err) != connect.CodeNotFound {
		t.Errorf("a message for another replica: %v", err)
	}
	if peak := meter.Peak(); peak.ResidentMb+peak.QueuedMb >= clientlimit.DefaultMemoryMb {
		t.Error(peak)
	}
}
