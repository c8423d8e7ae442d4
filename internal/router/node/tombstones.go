package node

import (
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/settings"
	"petrelhook/internal/router/storage"
	"petrelhook/internal/router/tombstone"
	"petrelhook/internal/router/wireformat"
)

const tombstonesFile = "tombstones.log"

// pendingAckTimeout is how long an acknowledgement waits for a tombstone to be durable. After that time no server can be waiting
// for it.
const pendingAckTimeout = 2 * drainTimeout

// slowWriteTime is the time after which a write of tombstones that has not ended is reported as one that fails: no server waits
// that long for it.
const slowWriteTime = drainTimeout

// errSlowWrite is the error that is logged for a write that has not ended after slowWriteTime.
var errSlowWrite = errors.Newf("the write has not ended after %v", slowWriteTime)

// recordLog is the file of tombstones. *storage.RecordLog implements it.
type recordLog interface {
	Append(records [][]byte) error
	Replace(records [][]byte) error
}

// tombstones is the part of this router's disk that says which servers are draining or deregistered. Every router with a
// disk writes the tombstone of each end that it learns of, from whomever.
type tombstones struct {
	journal *tombstone.Journal // nil on a router without a disk, which is never a core member
	log     recordLog          // used by the write in progress alone
	failing bool               // the last write failed, or the write in progress is slow
	pending []pendingAck
	writers sync.WaitGroup
}

// pendingAck is the acknowledgement of a drain that is sent once the tombstone of its instance is on this router's disk.
type pendingAck struct {
	id        string         // of the instance
	state     registry.State // that must be on the disk
	member    string         // internal address of the core member that sent the Drain; "" if this router counts its own disk
	request   uint64         // number of the drain at that member
	createdAt time.Duration
}

// openTombstones reads the tombstones on the disk and adds the servers to the registry. It fails if the file is there and
// cannot be read. Damaged records are passed over: other core members have them too. What was read is written again by the
// first tick, because a process that was killed may not have synced it.
func (n *Node) openTombstones() error {
	n.tombstones.journal = tombstone.New(registry.EndedRetention)
	n.tombstones.log = storage.NewRecordLog(n.settings.DataDir, tombstonesFile)
	records, damaged, err := storage.ReadRecords(n.settings.DataDir, tombstonesFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, record := range records {
		instance, err := wireformat.DecodeTombstone(record)
		if err != nil {
			damaged++
			continue
		}
		n.tombstones.journal.Add(instance, n.now())
		n.registry.Merge(registry.Update{Instance: instance, Age: settings.Milliseconds(n.settings.HeartbeatMs)}, n.now())
	}
	if damaged > 0 {
		n.logger.Warn().Int("records", damaged).Msg("damaged tombstones ignored")
	}
	n.logger.Info().Int("tombstones", n.tombstones.journal.Len()).Msg("tombstones loaded from the disk")
	return nil
}

// recordEnds adds the tombstones of the changed servers that are draining or deregistered, and starts to write them.
func (n *Node) recordEnds(changed []*registry.Entry, now time.Duration) {
	if n.tombstones.journal == nil {
		return
	}
	for _, entry := range changed {
		if entry.State != registry.Ready {
			n.tombstones.journal.Add(entry.Instance, now)
		}
	}
	n.writeTombstones(now)
}

// acknowledgeWhenDurable sends an acknowledgement once this router's disk has the end of the server. The registry has the server in
// the acknowledged state or a later one. While the disk hangs or fails, nothing is sent.
func (n *Node) acknowledgeWhenDurable(a pendingAck) {
	t := &n.tombstones
	if t.journal == nil {
		return
	}
	t.journal.Add(n.registry.Entry(a.id).Instance, a.createdAt)
	if t.journal.Durable(a.id, a.state) {
		n.sendDrainAck(a)
		return
	}
	t.pending = append(t.pending, a)
	n.writeTombstones(a.createdAt)
}

// writeTombstones starts the next write of tombstones, if one is due. It writes in a goroutine, since a disk may hang.
func (n *Node) writeTombstones(now time.Duration) {
	w, due := n.tombstones.journal.NextWrite(now)
	if !due {
		return
	}
	n.tombstones.writers.Go(func() {
		err := writeTombstoneRecords(n.tombstones.log, w)
		n.tombstonesWritten(w, err)
	})
}

// writeTombstoneRecords carries out a write. It is called without the lock.
func writeTombstoneRecords(log recordLog, w tombstone.Write) error {
	records := make([][]byte, 0, len(w.Tombstones))
	for _, instance := range w.Tombstones {
		record, err := wireformat.EncodeTombstone(instance)
		if err != nil {
			return err
		}
		records = append(records, record)
	}
	if w.Replace {
		return log.Replace(records)
	}
	return log.Append(records)
}

// tombstonesWritten records the result of a write, sends the acknowledgements that waited for it, and starts the next write. The
// goroutine of the write calls it. It acquires the lock.
func (n *Node) tombstonesWritten(w tombstone.Write, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	n.logTombstoneWrites(err)
	n.tombstones.journal.Written(w, err, now)
	n.sendDurableAcks(now)
	n.writeTombstones(now)
}

// logTombstoneWrites logs the first of several failed or slow writes, and the first that succeeds after them. err is the result of
// the last one.
func (n *Node) logTombstoneWrites(err error) {
	wasFailing := n.tombstones.failing
	n.tombstones.failing = err != nil
	switch {
	case err != nil && !wasFailing:
		n.logger.Warn().Err(err).Msg("tombstones not saved to disk")
	case err == nil && wasFailing:
		n.logger.Info().Msg("tombstones saved to disk again")
	}
}

// sendDurableAcks sends the pending acknowledgements whose tombstones have become durable, and drops those that have waited for
// longer than pendingAckTimeout.
func (n *Node) sendDurableAcks(now time.Duration) {
	t := &n.tombstones
	var durable []pendingAck
	t.pending = slices.DeleteFunc(t.pending, func(a pendingAck) bool {
		if t.journal.Durable(a.id, a.state) {
			durable = append(durable, a)
			return true
		}
		return now-a.createdAt > pendingAckTimeout
	})
	for _, a := range durable {
		n.sendDrainAck(a)
	}
}

// sendDrainAck acknowledges that this router's disk has the end of a server, to the core member that sent the Drain or to this router
// itself. A router that is no longer a core member acknowledges nothing.
func (n *Node) sendDrainAck(a pendingAck) {
	switch {
	case !n.isCoreMember():
	case a.member == "":
		n.countDrainAck(a.request, n.self.Member.ID)
	default:
		n.transport.Send(a.member, dissemination.DrainAck{Request: a.request, View: n.control.view.Epoch})
	}
}

// tickTombstones drops the tombstones whose retention is over, and repeats a write that failed.
func (n *Node) tickTombstones(now time.Duration) {
	if n.tombstones.journal == nil {
		return
	}
	if n.timers.expireTombstones.elapsed(forgetInterval, now) {
		n.tombstones.journal.Expire(now)
	}
	if n.tombstones.journal.WriteTime(now) > slowWriteTime {
		n.logTombstoneWrites(errSlowWrite)
	}
	n.writeTombstones(now)
	n.sendDurableAcks(now)
}

// TombstoneStatus is the state of the tombstones on a router's disk.
type TombstoneStatus struct {
	Known   int   // servers that are draining or deregistered
	Waiting int   // those of them that are not on the disk in their present state
	WriteMs int64 // for how long the write in progress has been going on; 0 if there is none
	Failing bool  // the last write failed, or the one in progress is slow: this disk counts for no new end
}

// status returns the state of the tombstones, or nil on a router without a disk.
func (t *tombstones) status(now time.Duration) *TombstoneStatus {
	if t.journal == nil {
		return nil
	}
	return &TombstoneStatus{Known: t.journal.Len(), Waiting: t.journal.Waiting(),
		WriteMs: t.journal.WriteTime(now).Milliseconds(), Failing: t.failing}
}
