// Package tombstone keeps track of which tombstones are on a router's disk, and decides what is written to it next.
//
// A tombstone says that a server is draining or deregistered. It outlives a restart, so that a core member that acknowledged
// the end of a server still knows it after all processes were killed, and no delayed heartbeat makes the server usable
// again.
//
// The package has no clock, file, network or goroutine of its own: the caller passes the time, carries out the writes and
// holds a lock around every call. It does not decide who has to have a tombstone before an end is acknowledged.
//
// Invariant: Durable returns true only for tombstones that a write which succeeded contains, and whose retention is not over.
package tombstone

import (
	"time"

	"petrelhook/internal/router/registry"
)

// retryDelay is the time after a failed write before the next one.
const retryDelay = 200 * time.Millisecond

// recordsPerTombstone is the maximum number of records that a tombstone has in a file without expired ones: one for each of its
// states, since each is appended.
const recordsPerTombstone = 2

// Write is one write to the disk, either of all tombstones or of new ones.
type Write struct {
	Replace    bool                // Tombstones replace the content of the file; otherwise they are appended
	Tombstones []registry.Instance // their State is Draining or Deregistered
}

// entry is one tombstone.
type entry struct {
	instance registry.Instance
	addedAt  time.Duration  // when it got its present state, or was read at the start
	durable  registry.State // the state that is on the disk; Ready if none is
}

// Journal is the state of the tombstones of one router. New creates it.
type Journal struct {
	retention time.Duration
	entries   map[string]*entry // by instance ID
	unwritten []string          // IDs of the entries whose state is neither on the disk nor in the write in progress
	records   int               // number of records in the file
	writing   bool              // a write is in progress
	startedAt time.Duration     // when the write in progress started
	replace   bool              // the next write has to replace the file: it may end in the middle of a record
	retryAt   time.Duration     // no write before this time
}

// New returns a Journal without tombstones, which drops each of them after retention.
func New(retention time.Duration) *Journal {
	return &Journal{retention: retention, entries: map[string]*entry{}, replace: true}
}

// Add adds the tombstone of an instance that is draining or deregistered. It does nothing if the tombstone is known, or if the
// instance is ready. A tombstone that was read from the disk at the start is added as well: it may not have been synced before
// the restart, and its retention begins anew, since the time before the restart is not known.
func (j *Journal) Add(instance registry.Instance, now time.Duration) {
	known := j.entries[instance.ID]
	if known == nil {
		known = &entry{}
	}
	if known.instance.State >= instance.State {
		return
	}
	known.instance, known.addedAt = instance, now
	j.entries[instance.ID] = known
	j.unwritten = append(j.unwritten, instance.ID)
}

// Durable reports whether the disk has a tombstone of an instance in the given state or a later one.
func (j *Journal) Durable(id string, state registry.State) bool {
	known := j.entries[id]
	return known != nil && known.durable >= state
}

// NextWrite returns the next write. ok is false if there is none now: nothing is to be written, a write is in progress, or
// the last one has just failed. The caller carries the write out and passes the result to Written. Tombstones that are
// added meanwhile share the write after it. A file with expired records is replaced once it has more records than its
// tombstones need, even if nothing was added: a restart would load them, and refuse a later server with the same ID.
func (j *Journal) NextWrite(now time.Duration) (w Write, ok bool) {
	outdated := j.records > recordsPerTombstone*len(j.entries)
	if j.writing || now < j.retryAt || (len(j.unwritten) == 0 && !outdated) {
		return Write{}, false
	}
	w.Replace = j.replace || outdated
	if w.Replace {
		for _, e := range j.entries {
			w.Tombstones = append(w.Tombstones, e.instance)
		}
	} else {
		w.Tombstones = j.unwrittenInstances()
	}
	j.unwritten = nil
	j.writing, j.startedAt = true, now
	return w, true
}

// unwrittenInstances returns the instances that are not written yet, each once.
func (j *Journal) unwrittenInstances() (instances []registry.Instance) {
	listed := map[string]bool{}
	for _, id := range j.unwritten {
		if e := j.entries[id]; e != nil && !listed[id] {
			listed[id] = true
			instances = append(instances, e.instance)
		}
	}
	return instances
}

// Written records the result of the write in progress. After an error it is unknown whether the disk has the tombstones,
// and they are written again after a delay.
func (j *Journal) Written(w Write, err error, now time.Duration) {
	j.writing = false
	if err != nil {
		j.replace = true
		j.retryAt = now + retryDelay
		j.requeue(w)
		return
	}
	if w.Replace {
		j.records = 0
	}
	j.replace = false
	j.records += len(w.Tombstones)
	for _, instance := range w.Tombstones {
		if e := j.entries[instance.ID]; e != nil {
			e.durable = max(e.durable, instance.State)
		}
	}
}

// requeue marks the tombstones of a failed write that are not on the disk as unwritten.
func (j *Journal) requeue(w Write) {
	for _, instance := range w.Tombstones {
		if e := j.entries[instance.ID]; e != nil && e.durable < e.instance.State {
			j.unwritten = append(j.unwritten, instance.ID)
		}
	}
}

// Expire drops the tombstones whose retention is over.
func (j *Journal) Expire(now time.Duration) {
	for id, e := range j.entries {
		if now-e.addedAt > j.retention {
			delete(j.entries, id)
		}
	}
}

// Len returns the number of tombstones.
func (j *Journal) Len() int { return len(j.entries) }

// Waiting returns the number of tombstones that are not on the disk in their present state. Its cost grows with Len.
func (j *Journal) Waiting() (count int) {
	for _, e := range j.entries {
		if e.durable < e.instance.State {
			count++
		}
	}
	return count
}

// WriteTime returns for how long the write in progress has been going on, or 0 if there is none.
func (j *Journal) WriteTime(now time.Duration) time.Duration {
	if !j.writing {
		return 0
	}
	return now - j.startedAt
}
