package node

import (
	"sync"
	"time"

	"petrelhook/internal/router/replication"
)

// saver is the disk of a diskWriter. *storage.Disk implements it; SaveAll returns one result for each save.
type saver interface {
	SaveAll(saves []replication.Save) []error
	Close() error
}

const (
	// maxSavesPerSync bounds the number of saves in one sync, since each of them may hold the complete state.
	maxSavesPerSync = 64
	// diskCloseTimeout is how long close waits for the disk. It is shorter than exitMargin.
	diskCloseTimeout = 300 * time.Millisecond
)

// diskWriter carries out the replica's saves in order, in a goroutine of its own, since a disk may hang. Saves queued
// during a sync are written together by the next sync, so that a disk with slow syncs falls no further behind. save and
// close may be called from any goroutine.
type diskWriter struct {
	disk  saver
	saved func(number uint64, err error) // called after each save, from the writer's goroutine

	mutex  sync.Mutex
	wake   *sync.Cond    // signalled when queue or closed changes
	ended  chan struct{} // closed once the disk is closed
	queue  []replication.Save
	closed bool
}

// newDiskWriter returns a writer and starts its goroutine, which calls saved once for each save.
func newDiskWriter(disk saver, saved func(uint64, error)) *diskWriter {
	w := &diskWriter{disk: disk, saved: saved, ended: make(chan struct{})}
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

// run carries out saves until the writer is closed and the queue is empty, and closes the disk.
func (w *diskWriter) run() {
	defer close(w.ended)
	for {
		batch := w.nextBatch()
		if len(batch) == 0 {
			_ = w.disk.Close() // all saves that were acknowledged are on the disk
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

// close makes the writer's goroutine end once the queue is empty, and waits for that as long as diskCloseTimeout: a disk may hang. The
// process exits next, and a save that was not acknowledged may be lost. A lock of the disk that only the exit releases may stay for a
// while, since the kernel releases mapped files later, and would keep a successor waiting.
func (w *diskWriter) close() {
	w.mutex.Lock()
	w.closed = true
	w.mutex.Unlock()
	w.wake.Signal()
	timeout := time.NewTimer(diskCloseTimeout)
	defer timeout.Stop()
	select {
	case <-w.ended:
	case <-timeout.C:
	}
}
