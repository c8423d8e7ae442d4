package node

import (
	"sync"

	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/storage"
)

// diskWriter carries out the replica's saves in their order, in a goroutine of its own, since a disk may hang.
type diskWriter struct {
	disk  *storage.Disk
	saved func(number uint64, err error) // called after each save, from the writer's goroutine

	mutex  sync.Mutex
	wake   *sync.Cond // signalled when queue or closed changes
	queue  []replication.Save
	closed bool
}

func newDiskWriter(disk *storage.Disk, saved func(uint64, error)) *diskWriter {
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
		next, ok := w.next()
		if !ok {
			return
		}
		w.saved(next.Number, w.disk.Save(next))
	}
}

// next waits for a save and removes it from the queue.
func (w *diskWriter) next() (replication.Save, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for len(w.queue) == 0 && !w.closed {
		w.wake.Wait()
	}
	if len(w.queue) == 0 {
		return replication.Save{}, false
	}
	next := w.queue[0]
	w.queue = w.queue[1:]
	return next, true
}

// close ends the writer once its queue is empty. It does not wait for that, nor for a disk that hangs: the process ends
// next, and a save that was not acknowledged may be lost.
func (w *diskWriter) close() {
	w.mutex.Lock()
	w.closed = true
	w.mutex.Unlock()
	w.wake.Signal()
}
