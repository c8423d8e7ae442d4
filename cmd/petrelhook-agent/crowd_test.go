//go:build load

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/internal/rig/abuse"
	"petrelhook/internal/rig/process"
)

// slowBytesPerSecond is a little more than the 4 KiB a second below which a client counts as one without progress.
const slowBytesPerSecond = 6 << 10

// The memory limit of the agent that the crowds meet, and the size of the crowds.
const (
	loadedMemoryMb = 96
	crowdOfCallers = 500
)

// agentProgram is the agent's own program.
var agentProgram = process.NewPrograms("petrelhook-agent")

// Callers of an agent whose only sidecar does not start.
func TestAgentCrowdsOfCallers(t *testing.T) {
	t.Cleanup(agentProgram.Remove)
	folder, address := t.TempDir(), peertest.ReserveAddr(t)
	store, err := release.NewStore(filepath.Join(folder, "releases"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := store.Add(strings.NewReader("#!/bin/sh\nexit 1\n"), strings.NewReader(`{"settings": {}}`))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(folder, "agent.yaml")
	text := fmt.Sprintf("application: app\nlisten: %q\ndata: data\nreleases: releases\nrelease: %s\nmemory_mb: %d\n"+
		"sidecars: [{name: n0, listen: %q, admin_addresses: [%q, %q]}]\n", address, r.ID, loadedMemoryMb, peertest.ReserveAddr(t),
		peertest.ReserveAddr(t), peertest.ReserveAddr(t))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := process.Start(t, exec.Command(agentProgram.Path(t, "petrelhook-agent"), "--config", file))
	answers := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		client := rpc.Client[machine.StatusRequest, machine.Status](http.DefaultClient, address, machine.PathStatus, machine.MaxResponseBytes)
		_, err := client.CallUnary(ctx, connect.NewRequest(&machine.StatusRequest{Version: machine.Version, Application: "app"}))
		return err == nil
	}
	peertest.Eventually(t, "the agent answers", answers)
	target := abuse.Target{Address: address, PID: p.Pid, Ended: p.Ended, MemoryMb: loadedMemoryMb, Answers: answers}
	target.BearInTurn(t, crowdOfCallers, abuse.Of(abuse.Call(machine.PathOrder), abuse.Limits{HeadBytes: 1 << 20, BodyBytes: 64 << 10, SlowBytesPerSecond: slowBytesPerSecond}))
}
