package node

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	phuslog "github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/wireformat"
)

// scriptedLog is a log on a disk that hangs until the test lets each write end with a result.
type scriptedLog struct{ results chan error }

func (l scriptedLog) Append([][]byte) error  { return <-l.results }
func (l scriptedLog) Replace([][]byte) error { return <-l.results }

// newMemberWithLog returns one of three core members, whose disk the test controls.
func newMemberWithLog(t testing.TB) (*Node, scriptedLog) {
	t.Helper()
	n := newIsolatedMember(t)
	log := scriptedLog{results: make(chan error)}
	n.tombstones.log = log
	return n, log
}

// startLockedDrain starts the deregistration of a server with the lock held.
func startLockedDrain(n *Node, id string) (d *pendingDrain, request uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	d = n.startDrain("", 0, registry.Instance{ID: id, Service: "s", Address: id, State: registry.Deregistered, Sequence: 4}, n.now())
	return d, n.lastRequest
}

// receiveLockedDrainAck delivers the acknowledgement of another member with the lock held.
func receiveLockedDrainAck(n *Node, member int, request uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.receiveDrainAck(n.control.view.Members[member].Address, dissemination.DrainAck{Request: request, View: n.control.view.Epoch})
}

// A disk that hangs holds up no drain as long as a majority of the other disks has it, and counts for none.
func TestADiskThatHangsCountsForNoDrain(t *testing.T) {
	n, log := newMemberWithLog(t)
	d, request := startLockedDrain(n, "i1")
	receiveLockedDrainAck(n, 0, request)
	require.False(t, isClosed(d.done), "one disk of three has it")
	receiveLockedDrainAck(n, 2, request)
	require.True(t, isClosed(d.done), "two other disks have it")
	log.results <- nil
	n.tombstones.writers.Wait()
}

// A disk that fails counts for no drain before a later write succeeds. The end counts for routing at once.
func TestADiskThatFailsCountsForNoDrain(t *testing.T) {
	n, log := newMemberWithLog(t)
	d, request := startLockedDrain(n, "i1")
	receiveLockedDrainAck(n, 0, request)
	log.results <- errors.New("no space left")
	n.tombstones.writers.Wait()
	require.False(t, isClosed(d.done))
	require.False(t, n.registry.Entry("i1").Usable())
	n.mutex.Lock()
	n.tickTombstones(n.now() + time.Second) // the delay after a failure is over
	n.mutex.Unlock()
	log.results <- nil
	n.tombstones.writers.Wait()
	require.True(t, isClosed(d.done))
}

// BenchmarkEndsWhileTheDiskHangs measures the time under the lock for one more end, while all ends before it wait for the disk.
func BenchmarkEndsWhileTheDiskHangs(b *testing.B) {
	n, log := newMemberWithLog(b)
	for i := range b.N {
		startLockedDrain(n, strconv.Itoa(i))
	}
	b.StopTimer()
	log.results <- nil
	if b.N > 1 {
		log.results <- nil
	}
	n.tombstones.writers.Wait()
}

// Guards against a disk that hangs without a word: a failed write is logged, one that does not end was not.
func TestADiskThatHangsIsReported(t *testing.T) {
	n, log := newMemberWithLog(t)
	var logged bytes.Buffer
	n.logger.Writer = &phuslog.IOWriter{Writer: &logged}
	n.logger.Level = phuslog.InfoLevel
	began := n.now()
	startLockedDrain(n, "i1")
	startLockedDrain(n, "i2")
	tickAt := func(now time.Duration) *TombstoneStatus {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.tickTombstones(now)
		return n.tombstones.status(now)
	}
	waiting := tickAt(began)
	require.Equal(t, 2, waiting.Waiting)
	require.False(t, waiting.Failing)
	hanging := tickAt(n.now() + 2*slowWriteTime)
	require.True(t, hanging.Failing)
	require.GreaterOrEqual(t, hanging.WriteMs, slowWriteTime.Milliseconds())
	tickAt(n.now() + 3*slowWriteTime)
	require.Equal(t, 1, strings.Count(logged.String(), "tombstones not saved to disk"), "once")
	log.results <- nil
	log.results <- nil
	n.tombstones.writers.Wait()
	require.Equal(t, 1, strings.Count(logged.String(), "tombstones saved to disk again"))
	require.Equal(t, &TombstoneStatus{Known: 2}, tickAt(n.now()))
	require.Nil(t, newNode(t, "").Status().Tombstones, "a router without a disk has none")
}

// Drains that wait for the same disk share its next write, and each is acknowledged.
func TestDrainsThatWaitShareAWrite(t *testing.T) {
	n, log := newMemberWithLog(t)
	var waiting []*pendingDrain
	for _, id := range []string{"i1", "i2", "i3", "i4"} {
		d, request := startLockedDrain(n, id)
		receiveLockedDrainAck(n, 0, request)
		waiting = append(waiting, d)
	}
	log.results <- nil // the write of i1
	log.results <- nil // one write of the others
	n.tombstones.writers.Wait()
	for _, d := range waiting {
		require.True(t, isClosed(d.done))
	}
}

// A core member writes the end of a server that it learns of from another router, so that a later loss of that one's disk
// costs nothing, and knows it after a restart. A drain that it has on disk is acknowledged again at once.
func TestALearnedEndIsWritten(t *testing.T) {
	n := newIsolatedMember(t)
	n.mutex.Lock()
	ended := registry.Instance{ID: "i1", Service: "s", Address: "a", State: registry.Deregistered, Sequence: 4}
	n.receivePush("10.0.1.1:7000", &dissemination.Push{Incarnation: 1, Stamp: 1, Instances: []registry.Update{{Instance: ended}}}, n.now())
	n.apply()
	n.mutex.Unlock()
	n.tombstones.writers.Wait()
	d, request := startLockedDrain(n, "i1")
	receiveLockedDrainAck(n, 0, request)
	require.True(t, isClosed(d.done))

	restarted := newNode(t, "")
	restarted.settings.DataDir = n.settings.DataDir
	require.NoError(t, restarted.openTombstones())
	ready := ended
	ready.State, ready.Sequence = registry.Ready, 3
	restarted.registry.ReceiveHeartbeat(ready, time.Second)
	require.False(t, restarted.registry.Entry("i1").Usable())
}

// A tombstones file that this version recorded is read, damaged records are passed over, and a file that cannot be read
// ends the start: this disk would otherwise count although it has forgotten what it had acknowledged.
func TestRecordedTombstonesAreRead(t *testing.T) {
	recorded, err := os.ReadFile(filepath.Join("testdata", "tombstones-1", tombstonesFile))
	require.NoError(t, err)
	n := newNode(t, "")
	n.settings.DataDir = t.TempDir()
	path := filepath.Join(n.settings.DataDir, tombstonesFile)
	require.NoError(t, os.WriteFile(path, append(recorded, "damaged"...), 0o600))
	require.NoError(t, n.openTombstones())
	require.Equal(t, registry.Instance{ID: "i-7f3a91c2", Service: "s", Address: "10.0.0.9:80", Zone: "z1", Generation: "v1", Slots: 8,
		State: registry.Draining, Sequence: 41}, n.registry.Entry("i-7f3a91c2").Instance)
	require.Equal(t, registry.Instance{ID: "i-0b11", State: registry.Deregistered}, n.registry.Entry("i-0b11").Instance)
	require.False(t, n.tombstones.journal.Durable("i-0b11", registry.Deregistered), "it may not have been synced before the restart")
	n.mutex.Lock()
	n.writeTombstones(n.now())
	n.mutex.Unlock()
	n.tombstones.writers.Wait()
	require.True(t, n.tombstones.journal.Durable("i-0b11", registry.Deregistered))
	rewritten, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Len(t, rewritten, len(recorded), "the damaged end is gone")
	for _, id := range []string{"i-7f3a91c2", "i-0b11"} {
		record, err := wireformat.EncodeTombstone(n.registry.Entry(id).Instance)
		require.NoError(t, err)
		require.Contains(t, string(recorded), " "+string(record)+"\n", "this version writes the recorded form")
	}

	unreadable := newNode(t, "")
	unreadable.settings.DataDir = t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(unreadable.settings.DataDir, tombstonesFile), 0o700))
	require.Error(t, unreadable.openTombstones())
}

// An ID that a tombstone could not hold is refused before anything is applied.
func TestAnIDThatIsNoTextIsRefused(t *testing.T) {
	n := newIsolatedMember(t)
	r := httptest.NewRequest(http.MethodPost, "/-/instances/%ff/deregister", nil)
	w := httptest.NewRecorder()
	n.controlHandler().ServeHTTP(w, r)
	require.Equal(t, http.StatusBadRequest, w.Code)
	require.Contains(t, w.Body.String(), "UTF-8")
	require.Zero(t, n.registry.Len())
}
