package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/deployment"
	"petrelhook/internal/rig/racedetector"
)

// The test binary also runs as the sidecar of a faulty release, if the environment names the fault.
func TestMain(m *testing.M) {
	if kind := os.Getenv(deployment.FaultVariable); kind != "" {
		if err := deployment.RunFaultySidecar(kind); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	code := m.Run()
	deployment.RemoveBuilt()
	os.Exit(code)
}

// The tests of real processes check what happens and not when, since the machine may be busy with other work. The deadline of requests and
// the time-outs of agents are therefore very long. internal/rig/deployment simulates the same deployments in virtual time, with the
// time-outs that operators use.
const (
	longDeadline = 20 * time.Second
	longLimits   = "{ready_timeout: 60s, trial_period: 300ms, termination_timeout: 60s, poll_interval: 50ms, isolation_timeout: 60s, contact_timeout: 4s, initial_restart_backoff: 200ms}"
)

// startProcesses starts a deployment of real processes under load, in parallel with those of other tests. It skips the test under the race
// detector, except for TestStoppedProcesses: the programs that it starts are built without the detector, which would check only the test's
// own code.
func startProcesses(t *testing.T, sidecars, rate int, configure func(*deployment.Deployment)) *deployment.LoadTest {
	t.Helper()
	if racedetector.Enabled && t.Name() != "TestStoppedProcesses" {
		t.Skip("the programs that the test starts are built without the race detector")
	}
	t.Parallel()
	platform := deployment.Processes(t, func() string { return peertest.ReserveAddr(t) })
	return deployment.StartLoadTest(t, platform, deployment.Load{Sidecars: sidecars, Rate: rate, Deadline: longDeadline,
		Configure: func(d *deployment.Deployment) {
			d.Limits = longLimits
			if configure != nil {
				configure(d)
			}
		}})
}

// killAgentsInTurn kills one agent after another, the given number of times in all, and restarts each. Before each kill it waits for a
// random time of less than within. It fails the test if a sidecar ever has a third process.
func killAgentsInTurn(t *testing.T, s *deployment.LoadTest, times int, within time.Duration) {
	t.Helper()
	for i := range times {
		<-time.After(rand.N(within)) // the moment of the kill must not matter
		a := s.Agents[i%len(s.Agents)]
		a.KillAndWait()
		a.StartProcess()
		if got := a.MaxProcesses(); got > 2 {
			t.Errorf("%d processes of one sidecar", got)
		}
	}
}
