package group

import (
	"fmt"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
)

// simReplica is one process of a replica, with its disk.
type simReplica struct {
	sim         *sim
	index       int
	clockRate   float64
	core        *replica.Core          // nil: it is down
	disk        replica.PersistedState // what was synced
	paused      bool
	pending     []func() // what arrived while it was paused, in order
	incarnation int
	writing     bool
}

// clock is its own clock, which runs at clockRate.
func (r *simReplica) clock() lease.Instant { return lease.Instant(float64(r.sim.now) * r.clockRate) }

// run runs do in the process, at once or when it resumes; never, if the process crashes before.
func (r *simReplica) run(do func()) {
	incarnation := r.incarnation
	guarded := func() {
		if r.incarnation == incarnation && r.core != nil {
			do()
			r.processReady()
		}
	}
	if r.paused {
		r.pending = append(r.pending, guarded)
	} else {
		guarded()
	}
}

// start starts a process from what the disk has.
func (r *simReplica) start() {
	disk := r.disk
	disk.Entries = slices.Clone(disk.Entries)
	o := replica.Options{ID: uint64(r.index + 1), Rand: r.sim.rand.IntN, SnapshotEvery: 40, CatchUpEntries: 10}
	if r.sim.options.NoSync {
		o.SnapshotEvery = 1 << 40
	}
	core, err := replica.New(o, &disk)
	if err != nil {
		r.sim.Violation = fmt.Sprint("start: ", err)
		return
	}
	r.incarnation++
	r.core, r.writing = core, false
	r.tick()
}

// tick schedules the ticks of this incarnation.
func (r *simReplica) tick() {
	incarnation := r.incarnation
	r.sim.after(simTick, func() {
		if r.incarnation == incarnation && r.core != nil {
			if !r.paused {
				r.run(func() { r.core.Tick(r.clock()) })
			}
			r.tick()
		}
	})
}

// processReady carries out what the core has ready. A write takes time, in which the process can crash; only one is under way.
func (r *simReplica) processReady() {
	if r.writing || r.core == nil {
		return
	}
	ready, ok := r.core.Ready()
	if !ok {
		return
	}
	if !ready.Sync {
		r.finish(ready)
		r.processReady()
		return
	}
	r.writing = true
	incarnation := r.incarnation
	if r.sim.options.NoSync { // messages leave first, the disk is written some time later
		r.finish(ready)
		r.sim.after(200*time.Millisecond, func() {
			if r.incarnation == incarnation {
				r.save(ready)
			}
		})
		return
	}
	r.sim.after(r.sim.uniform(time.Millisecond, 8*time.Millisecond), func() {
		if r.incarnation == incarnation {
			r.save(ready)
			r.run(func() { r.finish(ready) })
		}
	})
}

// save puts on the disk what ready has to be synced.
func (r *simReplica) save(ready replica.Ready) {
	if ready.Snapshot != nil {
		r.disk.Snapshot, r.disk.Entries = ready.Snapshot, nil
	}
	if ready.HardState != nil {
		r.disk.HardState = proto.Clone(ready.HardState).(*pb.HardState)
	}
	if len(ready.Entries) > 0 {
		first := ready.Entries[0].GetIndex()
		r.disk.Entries = append(slices.DeleteFunc(slices.Clone(r.disk.Entries), func(e *pb.Entry) bool { return e.GetIndex() >= first }), ready.Entries...)
	}
}

// finish sends the messages of ready and has the core apply its entries; a snapshot that the core then makes goes to the disk.
func (r *simReplica) finish(ready replica.Ready) {
	for _, m := range ready.Messages {
		r.sim.send(r.index, m)
	}
	snapshot, compact, err := r.core.Advance(ready, r.clock())
	if err != nil {
		r.sim.Violation = fmt.Sprint("advance: ", err)
		return
	}
	if snapshot != nil {
		r.disk.Snapshot = snapshot
		r.disk.Entries = slices.DeleteFunc(slices.Clone(r.disk.Entries), func(e *pb.Entry) bool { return e.GetIndex() <= compact })
	}
	r.writing = false
}

// crash ends the process; what was not synced is lost.
func (r *simReplica) crash() {
	r.core, r.pending, r.paused = nil, nil, false
	r.incarnation++
}
