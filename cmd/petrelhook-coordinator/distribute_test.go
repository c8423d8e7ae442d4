package main

import (
	"fmt"
	"testing"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/rig/coordinator"
)

// A follower is suspended and resumed, then the leader, which may believe for a moment after it resumes that it still leads. Versions that
// are published meanwhile and afterwards must reach all agents, and no agent may store an older version. internal/rig/simcoordinator covers
// coordinators that are killed or partitioned.
func TestVersionsReachAgentsWhileCoordinatorsAreStopped(t *testing.T) {
	t.Parallel()
	group := newGroup(t, 3)
	const services = 12
	receivers := coordinator.StartReceivers(t, group, nil, 5*services, services)
	number, newest := 0, map[string]distribute.Revision{}
	publishAndAwait := func(situation string) {
		t.Helper()
		for i := range services {
			number++
			service := fmt.Sprintf("service-%d", i)
			newest[service] = group.PublishNumbered(service, number)
		}
		receivers.AwaitAll(newest)
		t.Log("all agents have the newest versions: ", situation)
	}
	publishAndAwait("no fault")

	follower := group.Members[(group.AwaitNewLeader(-1)+1)%3]
	follower.Pause()
	publishAndAwait("a follower is suspended")
	follower.Resume()
	publishAndAwait("the follower is resumed")

	leader := group.AwaitNewLeader(-1)
	group.Members[leader].Pause()
	group.AwaitNewLeader(leader)
	publishAndAwait("the leader is suspended")
	group.Members[leader].Resume() // it may believe for a moment that it still leads
	publishAndAwait("the former leader is resumed")
}
