package replication

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// viewOf is a view of the members a, b, c, d, e that is known to be in force.
func viewOf(round uint64, inSync ...string) View {
	v := View{Epoch: Epoch{Round: round, Node: inSync[0]}, Primary: inSync[0], InSync: inSync}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		v.Members = append(v.Members, Member{ID: id, Address: id})
	}
	v.Old = v.Members
	return v
}

// preVoter returns the replica "a", which accepted a view and has no contact with anybody.
func preVoter(t *testing.T, accepted View) *Replica {
	t.Helper()
	r, err := New(Options{Self: Member{ID: "a", Address: "a"}, FaultTolerance: 1}, &PersistedState{ID: "a", Hard: HardState{Accepted: accepted}},
		machineAdapter{&versionMachine{}}, 0)
	require.NoError(t, err)
	r.Tick(3 * time.Second)
	require.NotEmpty(t, r.Effects(), "it requests pre-votes")
	return r
}

// A replica campaigns where the answers to its pre-vote say that it could lead. One outside the in-sync set does not:
// each promise gives a candidate time, and two such replicas alternating would keep those who could lead from being
// elected, for ever.
func TestOnlyOneThatCouldLeadIsACandidate(t *testing.T) {
	without, with := viewOf(4, "b", "c"), viewOf(5, "a", "b")
	for _, test := range []struct {
		name      string
		own       View
		accepted  []View // of c, d, e
		candidate bool
	}{
		{"in the in-sync set", with, []View{with, with, with}, true},
		{"one of the others is behind", with, []View{with, without, with}, true},
		{"outside the in-sync set", without, []View{without, without, without}, false},
		{"others are further, without it", with, []View{viewOf(6, "b", "c"), with, with}, false},
		{"one other accepted a view in which it is", without, []View{without, without, with}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := preVoter(t, test.own)
			for i, from := range []string{"c", "d", "e"} {
				r.Receive(from, PreVoteReply{Voters: []string{from}, Accepted: test.accepted[i]}, r.now)
			}
			prepared := false
			for _, effect := range r.Effects() {
				if send, ok := effect.(Send); ok {
					_, prepare := send.Message.(Prepare)
					prepared = prepared || prepare
				}
			}
			require.Equal(t, test.candidate, prepared)
		})
	}
}

// Schedules after whose faults two replicas outside the in-sync set kept the others from electing a primary.
func TestOutsidersDoNotHinderAnElection(t *testing.T) {
	assert.Empty(t, scheduleViolation(playSchedule(t, 140690, nil)))
	assert.Empty(t, scheduleViolation(playCore(t, 116838, 5, 2, nil)))
	assert.Empty(t, scheduleViolation(playCore(t, 148364, 7, 2, nil)))
}
