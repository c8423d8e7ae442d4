package replication

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	slowLinkBytesPerSecond = 10_000_000 / 8 // 10 Mbit/s
	largeValueBytes        = 400_000        // about the size of 500 routes and 4,096 digests
	proposalInterval       = 100 * time.Millisecond
)

// proposalOutcomes counts the outcomes of a series of proposals.
type proposalOutcomes struct {
	accepted, rejected, late, unanswered int
	slowest                              time.Duration
}

const lateThreshold = 500 * time.Millisecond

// proposeFor proposes a value every proposalInterval for some time, on top of the newest version. It skips a turn while the
// last proposal is not answered.
func (s *simulation) proposeFor(during time.Duration) {
	for until := s.now + during; s.now < until; {
		if p := s.primary(); p != nil && s.history[len(s.history)-1].end >= 0 {
			s.callAt(p, operation{client: 1, write: true, base: p.machine.Version, value: fmt.Sprint("v", p.machine.Version)})
		}
		s.run(s.now + proposalInterval)
	}
}

// countOutcomes counts the outcomes of operations.
func countOutcomes(history []operation) (total proposalOutcomes) {
	for _, o := range history {
		took := o.end - o.begin
		switch {
		case o.end < 0:
			total.unanswered++
		case o.status != http.StatusOK:
			total.rejected++
		default:
			total.accepted++
			total.slowest = max(total.slowest, took)
			if took > lateThreshold {
				total.late++
			}
		}
	}
	return total
}

// catchUpRun is a core on slow links of which one member misses entries and returns while proposals continue.
type catchUpRun struct {
	*simulation
	restarted       *host
	whileCatchingUp proposalOutcomes // after the member's return
	inSyncAfter     time.Duration    // time from its return until it was in sync
	catchUpBytes    int              // bytes sent by all machines in that time
}

func playCatchUp(t *testing.T, seed int64, syncTime time.Duration, wiped bool) *catchUpRun {
	t.Helper()
	s := newSimulation(t, seed, 4, 1)
	s.run(4 * time.Second)
	require.NotNil(t, s.primary())
	require.Equal(t, http.StatusOK, writeNow(s, largeValuePrefix+strings.Repeat("x", largeValueBytes)).status)
	s.bytesPerSecond = slowLinkBytesPerSecond
	a := &catchUpRun{simulation: s, restarted: s.followers(s.primary())[seed%3], inSyncAfter: -1}
	a.restarted.syncTime = syncTime
	s.kill(a.restarted)
	if wiped {
		s.wipe(a.restarted)
	}
	s.proposeFor(30 * time.Second)
	s.boot(a.restarted)
	back, sent, from := s.now, s.sentBytes, len(s.history)
	for range 100 {
		s.proposeFor(proposalInterval)
		if p := s.primary(); a.inSyncAfter < 0 && p != nil && p.replica.knownView.inSync(a.restarted.process.replica.Self.ID) {
			a.inSyncAfter, a.catchUpBytes = s.now-back, s.sentBytes-sent
		}
	}
	s.run(s.now + time.Second)
	a.whileCatchingUp = countOutcomes(s.history[from:])
	return a
}

// A member that missed 300 entries, with an intact or an empty, a fast or a slow disk, catches up over a slow link while
// proposals continue. No proposal is rejected or delayed by it.
func TestCatchingUpBesideOrders(t *testing.T) {
	for _, test := range []struct {
		name     string
		syncTime time.Duration
		wiped    bool
	}{
		{"disk intact", 2 * time.Millisecond, false},
		{"disk intact, slow", 60 * time.Millisecond, false},
		{"disk lost", 2 * time.Millisecond, true},
		{"disk lost, slow", 60 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range int64(6) {
				a := playCatchUp(t, seed, test.syncTime, test.wiped)
				t.Logf("seed %d: in sync after %v, %d bytes sent, proposals %+v", seed, a.inSyncAfter, a.catchUpBytes, a.whileCatchingUp)
				require.Positive(t, a.inSyncAfter, "it never caught up")
				require.Less(t, a.inSyncAfter, 1200*time.Millisecond)
				require.Zero(t, a.whileCatchingUp.rejected+a.whileCatchingUp.unanswered)
				require.Zero(t, a.whileCatchingUp.late)
			}
		})
	}
}

// A replica in the in-sync set rejects a snapshot to catch up, because acknowledged entries depend on its state. A replica
// outside the set adopts it.
func TestAnInSyncReplicaRejectsCatchUp(t *testing.T) {
	for _, test := range []struct {
		view    View
		adopted bool
	}{{viewOf(5, "b", "a"), false}, {viewOf(5, "b", "c"), true}} {
		r := suspectingReplica(t, test.view)
		r.hard.Promised = test.view.Epoch
		snapshot := (&versionMachine{Version: 9, Value: "caught up"}).Snapshot()
		at := Position{Epoch: test.view.Epoch, Sequence: 9}
		r.Receive("b", SnapshotChunk{Epoch: test.view.Epoch, Position: at, Size: len(snapshot), Data: snapshot}, 4*time.Second)
		require.Equal(t, test.adopted, r.state.position == at)
	}
}
