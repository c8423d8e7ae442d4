package replication

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// viewOf returns a view of the members a, b, c, d, e that is known to be in force. The first in-sync member is the primary.
func viewOf(round uint64, inSync ...string) View {
	v := View{Epoch: Epoch{Round: round, Node: inSync[0]}, Primary: inSync[0], InSync: inSync}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		v.Members = append(v.Members, Member{ID: id, Address: id})
	}
	v.Old = v.Members
	return v
}

// suspectingReplica returns the replica "a", which accepted a view, has had no contact with a primary, and requests pre-votes.
func suspectingReplica(t *testing.T, accepted View) *Replica {
	t.Helper()
	r, err := New(Options{Self: Member{ID: "a", Address: "a"}, FaultTolerance: 1}, &PersistedState{ID: "a", Hard: HardState{Accepted: accepted}},
		machineAdapter{&versionMachine{}}, 0)
	require.NoError(t, err)
	r.Tick(3 * time.Second)
	require.NotEmpty(t, r.Effects(), "it requests pre-votes")
	return r
}

// A replica campaigns only if the replies to its pre-vote show that it could lead. A replica outside the in-sync set does
// not: a promise delays the candidacy of the replica that gives it, so two such replicas in turn would keep the in-sync ones
// from being elected for ever.
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
		{"one other accepted a newer view without it", with, []View{viewOf(6, "b", "c"), with, with}, false},
		{"one other accepted a newer view with it in sync", without, []View{without, without, with}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := suspectingReplica(t, test.own)
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

// With these seeds, two replicas outside the in-sync set used to keep the others from electing a primary after the faults.
func TestOutsidersDoNotHinderAnElection(t *testing.T) {
	assert.Empty(t, scheduleViolation(playSchedule(t, 140690, nil)))
	assert.Empty(t, scheduleViolation(playCore(t, 116838, 5, 2, nil)))
	assert.Empty(t, scheduleViolation(playCore(t, 148364, 7, 2, nil)))
}
