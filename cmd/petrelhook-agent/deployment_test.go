package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/deployment"
)

// The test's program is also the sidecar of a bad release.
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

// Real processes are judged by what happens, not by when: the machine may be busy with something else. Requests may take very long before
// they are late, and agents wait very long before they give a sidecar up. internal/rig/deployment plays the same deployments in virtual
// time, with the times that operators have.
const (
	patientDeadline = 20 * time.Second
	patientLimits   = "{ready_timeout: 60s, trial_period: 300ms, termination_timeout: 60s, poll_interval: 50ms, isolation_timeout: 60s, contact_timeout: 4s, initial_restart_backoff: 200ms}"
)

// startProcesses is a deployment of processes under load, beside those of other tests. The programs that it starts are built without the race
// detector, which would see the rig alone: one test is run under it, the others are not.
func startProcesses(t *testing.T, sidecars, rate int, configure func(*deployment.Deployment)) *deployment.LoadTest {
	t.Helper()
	if raced && t.Name() != "TestStoppedProcesses" {
		t.Skip("the programs are not built with the race detector")
	}
	t.Parallel()
	platform := deployment.Processes(t, func() string { return peertest.ReserveAddr(t) })
	return deployment.StartLoadTest(t, platform, deployment.Load{Sidecars: sidecars, Rate: rate, Deadline: patientDeadline,
		Configure: func(d *deployment.Deployment) {
			d.Limits = patientLimits
			if configure != nil {
				configure(d)
			}
		}})
}

// kill kills agents in turn, each at a random moment within some time after it began to serve, and starts it again. It fails the test if
// a sidecar ever has a third process.
func kill(t *testing.T, s *deployment.LoadTest, times int, within time.Duration) {
	t.Helper()
	for i := range times {
		<-time.After(rand.N(within)) // at any moment: which one it is must not matter
		a := s.Agents[i%len(s.Agents)]
		a.KillAndWait()
		a.StartProcess()
		if got := a.MaxProcesses(); got > 2 {
			t.Errorf("%d processes of one sidecar", got)
		}
	}
}
