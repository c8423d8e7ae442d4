package node

import (
	"sync"

	"petrelhook/internal/router/replication"
)

// saver is the disk of a diskWriter: *storage.Disk.
type saver interface {
	SaveAll(saves []replication.Save) []error
}

// maxSavesPerSync bounds the saves that are synced together, each of which may have the complete state.
const maxSavesPerSync = 64

// diskWriter carries out the replica's saves in their order, in a goroutine of its own, since a disk may hang. Saves that
// have come during a sync are synced together by the next one: a disk that takes long for each falls no further behind.
type diskWriter struct {
	disk  saver
	saved func(number uint64, err error) // called after each save, from the writer's goroutine

	mutex  sync.Mutex
	wake   *sync.Cond // signalled when queue or closed changes
	queue  []replication.Save
	closed bool
}

func newDiskWriter(disk saver, saved func(uint64, error)) *diskWriter {
	w := &diskWriter{disk: disk, saved: saved}
	w.wake = sync.NewCond(&w.mutex)
	go w.run()
	return w
}

// save queues a save. It does not wait for it.
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

// nextBatch waits for a save, and removes from the queue those that there are. It returns none once the writer is closed and the
// queue is empty.
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

// close ends the writer once its queue is empty. It does not wait for that, nor for a disk that hangs: the process ends
// next, and a save that was not acknowledged may be lost.
func (w *diskWriter) close() {
	w.mutex.Lock()
	w.closed = true
	w.mutex.Unlock()
	w.wake.Signal()
}
