//go:build load

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/rig/abuse"
)

// The memory limit of the coordinator that the crowds meet, and the sizes of the crowds. A message of another coordinator may have 64 MB.
const (
	loadedMemoryMb = 192
	stepBytes      = 64 << 20
	crowdOfCallers = 300
	crowdOfPeers   = 30
)

// bearInTurn checks that a coordinator bears all behaviours at one of its paths, one after the other.
func bearInTurn(t *testing.T, path string, bodyBytes, clients int) {
	address, folder := peertest.ReserveAddr(t), t.TempDir()
	file := filepath.Join(folder, "fleet.yaml")
	text := fmt.Sprintf("id: 1\ndata: data\nmemory_mb: %d\nreplicas: [{id: 1, address: %q}]\n", loadedMemoryMb, address)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := start(t, "coordinator", nil, "--config", file)
	answers := func() bool {
		_, err := call(t.Context(), address, fleet.Request{Version: fleet.Version, ListLimits: true})
		return err == nil
	}
	peertest.Eventually(t, "the coordinator answers", answers)
	target := abuse.Target{Address: address, PID: p.Pid, Ended: p.Ended, MemoryMb: loadedMemoryMb, Answers: answers}
	target.BearInTurn(t, clients, abuse.Of(abuse.Call(path), abuse.Limits{HeadBytes: 1 << 20, BodyBytes: bodyBytes}))
}

func TestCoordinatorCrowdsOfCallers(t *testing.T) {
	bearInTurn(t, fleet.PathRequest, 1<<20, crowdOfCallers)
}

func TestCoordinatorCrowdsAtThePathOfOtherCoordinators(t *testing.T) {
	bearInTurn(t, fleet.PathStep, stepBytes, crowdOfPeers)
}
