package node

import (
	"sync"

	"petrelhook/internal/router/replication"
)

// saver is the disk of a diskWriter. *storage.Disk implements it; SaveAll returns one result for each save.
type saver interface {
	SaveAll(saves []replication.Save) []error
}

// maxSavesPerSync bounds the number of saves in one sync, since each of them may hold the complete state.
const maxSavesPerSync = 64

// diskWriter carries out the replica's saves in order, in a goroutine of its own, since a disk may hang. Saves queued
// during a sync are written together by the next sync, so that a disk with slow syncs falls no further behind. save and
// close may be called from any goroutine.
type diskWriter struct {
	disk  saver
	saved func(number uint64, err error) // called after each save, from the writer's goroutine

	mutex  sync.Mutex
	wake   *sync.Cond // signalled when queue or closed changes
	queue  []replication.Save
	closed bool
}

// newDiskWriter returns a writer and starts its goroutine, which calls saved once for each save.
func newDiskWriter(disk saver, saved func(uint64, error)) *diskWriter {
	w := &diskWriter{disk: disk, saved: saved}
	w.wake = sync.NewCond(&w.mutex)
	go w.run()
	return w
}

// save queues a save and returns without waiting for it.
func (w *diskWriter) save(s replication.Save) {
	w.mutex.Lock()
	w.queue = append(w.queue, s)
	w.mutex.Unlock()
	w.wake.Signal()
}

// run carries out saves until the writer is closed and the queue is empty.
func (w *diskWriter) run() {
	for {
		batch := w.nextBatch()
		if len(batch) == 0 {
			return
		}
		for i, err := range w.disk.SaveAll(batch) {
			w.saved(batch[i].Number, err)
		}
	}
}

// nextBatch waits until the queue has a save, and removes up to maxSavesPerSync saves from it. It returns none once the
// writer is closed and the queue is empty.
func (w *diskWriter) nextBatch() []replication.Save {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for len(w.queue) == 0 && !w.closed {
		w.wake.Wait()
	}
	n := min(len(w.queue), maxSavesPerSync)
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	return batch
}

// close makes the writer's goroutine end once the queue is empty. It waits neither for that nor for a disk that hangs:
// the process exits next, and a save that was not acknowledged may be lost.
func (w *diskWriter) close() {
	w.mutex.Lock()
	w.closed = true
	w.mutex.Unlock()
	w.wake.Signal()
}
