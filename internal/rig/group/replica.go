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

type simReplica struct {
	s       *sim
	i       int
	rate    float64
	core    *replica.Core          // nil: it is down
	disk    replica.PersistedState // as synced
	stopped bool
	held    []func() // what came while it was stopped
	life    int
	busy    bool
}

func (r *simReplica) clock() lease.Instant { return lease.Instant(float64(r.s.now) * r.rate) }

// run does something in the process, now or when it goes on; a process that has crashed meanwhile does not.
func (r *simReplica) run(do func()) {
	life := r.life
	guarded := func() {
		if r.life == life && r.core != nil {
			do()
			r.pump()
		}
	}
	if r.stopped {
		r.held = append(r.held, guarded)
	} else {
		guarded()
	}
}

func (r *simReplica) start() {
	disk := r.disk
	disk.Entries = slices.Clone(disk.Entries)
	o := replica.Options{ID: uint64(r.i + 1), Rand: r.s.rand.IntN, SnapshotEvery: 40, CatchUpEntries: 10}
	if r.s.o.NoSync {
		o.SnapshotEvery = 1 << 40
	}
	core, err := replica.New(o, &disk)
	if err != nil {
		r.s.Wrong = fmt.Sprint("start: ", err)
		return
	}
	r.life++
	r.core, r.busy = core, false
	r.tick()
}

func (r *simReplica) tick() {
	life := r.life
	r.s.after(simTick, func() {
		if r.life == life && r.core != nil {
			if !r.stopped {
				r.run(func() { r.core.Tick(r.clock()) })
			}
			r.tick()
		}
	})
}

// pump does what is to be done. A write takes time, in which the process can crash.
func (r *simReplica) pump() {
	if r.busy || r.core == nil {
		return
	}
	w, ok := r.core.Ready()
	if !ok {
		return
	}
	finish := func() {
		for _, m := range w.Messages {
			r.s.send(r.i, m)
		}
		own, compact, err := r.core.Advance(w, r.clock())
		if err != nil {
			r.s.Wrong = fmt.Sprint("done: ", err)
			return
		}
		if own != nil {
			r.disk.Snapshot = own
			r.disk.Entries = slices.DeleteFunc(slices.Clone(r.disk.Entries), func(e *pb.Entry) bool { return e.GetIndex() <= compact })
		}
		r.busy = false
	}
	if !w.Sync {
		finish()
		r.pump()
		return
	}
	r.busy = true
	save := func() {
		if w.Snapshot != nil {
			r.disk.Snapshot, r.disk.Entries = w.Snapshot, nil
		}
		if w.HardState != nil {
			r.disk.HardState = proto.Clone(w.HardState).(*pb.HardState)
		}
		if len(w.Entries) > 0 {
			first := w.Entries[0].GetIndex()
			r.disk.Entries = append(slices.DeleteFunc(slices.Clone(r.disk.Entries), func(e *pb.Entry) bool { return e.GetIndex() >= first }), w.Entries...)
		}
	}
	life := r.life
	if r.s.o.NoSync { // the answer first, the disk some time later
		finish()
		r.s.after(200*time.Millisecond, func() {
			if r.life == life {
				save()
			}
		})
		return
	}
	r.s.after(r.s.between(time.Millisecond, 8*time.Millisecond), func() {
		if r.life == life {
			save()
			r.run(finish)
		}
	})
}

func (r *simReplica) crash() {
	r.core, r.held, r.stopped = nil, nil, false
	r.life++
}
