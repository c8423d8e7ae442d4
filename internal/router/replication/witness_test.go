package replication

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// After a replica has promised an epoch, it adopts neither the view nor the state of a candidate of an older epoch.
func TestAnOlderCandidateIsRejected(t *testing.T) {
	for _, message := range []Message{
		Accept{View: viewOf(6, "c", "d")},
		Sync{Epoch: Epoch{Round: 6, Node: "c"}, Position: Position{Epoch: Epoch{Round: 6, Node: "c"}, Sequence: 9},
			Snapshot: (&versionMachine{Version: 9, Value: "older"}).Snapshot()},
	} {
		accepted := viewOf(5, "a", "b")
		r := suspectingReplica(t, accepted)
		r.Receive("b", Prepare{Epoch: Epoch{Round: 7, Node: "b"}, From: Member{ID: "b", Address: "b"}, Force: true}, 4*time.Second)
		promised := r.hard.Promised
		require.Equal(t, uint64(7), promised.Round)
		r.Effects() // discard the effects of the promise
		r.Receive("c", message, 4*time.Second)
		require.Equal(t, promised, r.hard.Promised)
		require.Equal(t, accepted.Epoch, r.hard.Accepted.Epoch)
		require.Zero(t, r.state.position.Sequence)
		for _, effect := range r.Effects() {
			_, saved := effect.(Save)
			require.False(t, saved, "the rejected message is saved")
		}
	}
}
