package node

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"testing/quick"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/rig/process"
	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/settings"
	"petrelhook/internal/router/storage"
)

// messages has a value of each type that receive handles.
var messages = []any{
	dissemination.SubscriptionHeartbeat{}, dissemination.Push{}, dissemination.PrefixReport{}, dissemination.LoadReport{},
	dissemination.OutcomeReport{}, dissemination.OutcomeSums{}, dissemination.Ejections{}, dissemination.Readmit{},
	dissemination.ForwardedHeartbeat{}, dissemination.ForwardedHeartbeatAck{}, dissemination.Drain{}, dissemination.DrainAck{},
	dissemination.QuotaRequest{}, dissemination.QuotaGrant{}, dissemination.QuotaAcquire{}, dissemination.QuotaAcquired{},
	dissemination.PoolOffer{}, dissemination.PoolCollect{}, dissemination.PoolDeposit{}, dissemination.PoolAcquire{},
	dissemination.PoolAcquired{}, replication.PreVote{}, replication.PreVoteReply{}, replication.Prepare{}, replication.Promise{},
	replication.Sync{}, replication.Synced{}, replication.Accept{}, replication.Accepted{}, replication.Replicate{},
	replication.Replicated{}, replication.Heartbeat{}, replication.HeartbeatAck{}, replication.TransferLeadership{},
	replication.SnapshotChunk{}, replication.MissingEntries{}, replication.LearnerAck{},
}

// A panic of a handler ends the process: messages with any content are handled without one.
func TestAnyMessageEndsNoRouter(t *testing.T) {
	for seed := range int64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewSource(seed))
			n := newNode(t, "")
			if seed%2 == 0 {
				n = newMember(t)
			}
			for range 300 {
				kind := reflect.TypeOf(messages[random.Intn(len(messages))])
				value, ok := quick.Value(kind, random)
				require.True(t, ok, kind)
				require.NotPanics(t, func() {
					n.receive("127.0.0.2:7000", value.Interface())
					n.tick()
				}, kind.String())
			}
		})
	}
}

// newMember returns a router that is a core member with a disk.
func newMember(t *testing.T) *Node {
	t.Helper()
	n := newNode(t, "")
	s, err := settings.Parse([]byte("CountsForQuorum = true\nBootstrap = true\n" + settingsText))
	require.NoError(t, err)
	s.DataDir = process.DataDir(t)
	n.settings = s
	require.NoError(t, n.openTombstones())
	disk, persisted, err := storage.Open(s.DataDir, n.self.Address, true)
	require.NoError(t, err)
	require.NoError(t, n.createReplica(resources{disk: disk, persisted: persisted}))
	t.Cleanup(func() {
		n.transport.Close()
		n.tombstones.writers.Wait()
		n.serversCache.writers.Wait()
		n.control.disk.close()
	})
	return n
}
