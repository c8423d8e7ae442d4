package main

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/rig/deployment"
)

// inForceTimeout bounds the wait for a version that must come into force. No test waits so long when it passes.
const inForceTimeout = 2 * time.Minute

// subscribed is a deployment whose agents receive versions and whose servers are listed at one address for all sidecars.
func subscribed(t *testing.T) *deployment.LoadTest {
	t.Helper()
	return startProcesses(t, 6, 60, func(d *deployment.Deployment) {
		d.SubscribeVersions = true
		d.Discovery = func(addr string) string { return addr }
	})
}

// quantum is a version that needs new processes.
func quantum(s *deployment.LoadTest, ms int) string {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(s.ReplaceSetting(`"quantum_ms":2`, fmt.Sprintf(`"quantum_ms":%d`, ms)), &fields); err != nil {
		panic(err)
	}
	return fmt.Sprintf(`{"settings": %s}`, fields["settings"])
}

// Agents are killed at random moments while versions are applied by new processes: no older version comes back, no sidecar has a third
// process, none refuses a good version, and the newest is in force on all.
func TestAgentsKilledInAVersion(t *testing.T) {
	s := subscribed(t)
	end := s.WatchRevisions(t)
	for i := range 3 {
		newest := s.Publish(quantum(s, 3+i))
		kill(t, s, 4, 900*time.Millisecond)
		s.AwaitInForce(inForceTimeout, newest)
	}
	s.AwaitInForce(inForceTimeout, s.Publish(quantum(s, 20)))
	end()
	for _, m := range s.InForce().Sidecars {
		if m.Refused != 0 {
			t.Errorf("%+v has refused a good version", m)
		}
	}
	s.Check()
}

// The coordinator that leads is paused while a version is published. When it continues it knows an older one, and sends nothing until it has
// caught up: no older version comes into force again.
func TestACoordinatorThatIsPaused(t *testing.T) {
	s := subscribed(t)
	end := s.WatchRevisions(t)
	s.AwaitInForce(inForceTimeout, s.Publish(quantum(s, 3)))
	paused := s.Members[s.AwaitNewLeader(-1)]
	paused.Pause()
	newest := s.Publish(quantum(s, 4))
	s.AwaitSummary(inForceTimeout, "the others tell", func(sum distribute.Summary) bool { return sum.Newest == newest && sum.InForce > 0 })
	paused.Resume()
	s.AwaitInForce(inForceTimeout, newest)
	end()
	s.Check()
}
