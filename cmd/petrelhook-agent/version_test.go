package main

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/rig/deployment"
)

// inForceTimeout bounds the wait until a version is in force. Passing tests wait much less.
const inForceTimeout = 2 * time.Minute

// startSubscribed starts a deployment whose agents subscribe to configuration versions and whose sidecars all use the same discovery
// address.
func startSubscribed(t *testing.T) *deployment.LoadTest {
	t.Helper()
	return startProcesses(t, 6, 60, func(d *deployment.Deployment) {
		d.SubscribeVersions = true
		d.Discovery = func(addr string) string { return addr }
	})
}

// versionWithQuantum returns a version with another quantum_ms, which comes into force only in new processes.
func versionWithQuantum(s *deployment.LoadTest, ms int) string {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(s.ReplaceSetting(`"quantum_ms":2`, fmt.Sprintf(`"quantum_ms":%d`, ms)), &fields); err != nil {
		panic(err)
	}
	return fmt.Sprintf(`{"settings": %s}`, fields["settings"])
}

// Agents are killed at random moments while versions are applied by starting new processes. No older version may come into force again, no
// sidecar may have a third process or refuse a valid version, and the newest version must be in force on all sidecars.
func TestAgentsKilledInAVersion(t *testing.T) {
	s := startSubscribed(t)
	stopWatching := s.WatchRevisions(t)
	for i := range 3 {
		newest := s.Publish(versionWithQuantum(s, 3+i))
		killAgentsInTurn(t, s, 4, 900*time.Millisecond)
		s.AwaitInForce(inForceTimeout, newest)
	}
	s.AwaitInForce(inForceTimeout, s.Publish(versionWithQuantum(s, 20)))
	stopWatching()
	for _, m := range s.InForce().Sidecars {
		if m.Refused != 0 {
			t.Errorf("%+v has refused a valid version", m)
		}
	}
	s.Check()
}

// The leader is suspended while a version is published. When it is resumed it knows only an older version, and must send nothing until it
// has caught up: no older version may come into force again.
func TestACoordinatorThatIsPaused(t *testing.T) {
	s := startSubscribed(t)
	stopWatching := s.WatchRevisions(t)
	s.AwaitInForce(inForceTimeout, s.Publish(versionWithQuantum(s, 3)))
	paused := s.Members[s.AwaitNewLeader(-1)]
	paused.Pause()
	newest := s.Publish(versionWithQuantum(s, 4))
	s.AwaitSummary(inForceTimeout, "the other coordinators have distributed the version", func(summary distribute.Summary) bool { return summary.Newest == newest && summary.InForce > 0 })
	paused.Resume()
	s.AwaitInForce(inForceTimeout, newest)
	stopWatching()
	s.Check()
}
