package node

import (
	"sync"

	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/storage"
)

// diskWriter writes saves in their order, from a goroutine of its own: a disk may hang.
type diskWriter struct {
	disk  *storage.Disk
	saved func(number uint64, err error)

	mutex  sync.Mutex
	wake   *sync.Cond
	queue  []replication.Save
	closed bool
	done   chan struct{}
}

func newDiskWriter(disk *storage.Disk, saved func(uint64, error)) *diskWriter {
	w := &diskWriter{disk: disk, saved: saved, done: make(chan struct{})}
	w.wake = sync.NewCond(&w.mutex)
	go w.run()
	return w
}

func (w *diskWriter) save(s replication.Save) {
	w.mutex.Lock()
	w.queue = append(w.queue, s)
	w.mutex.Unlock()
	w.wake.Signal()
}

func (w *diskWriter) run() {
	defer close(w.done)
	for {
		w.mutex.Lock()
		for len(w.queue) == 0 && !w.closed {
			w.wake.Wait()
		}
		if len(w.queue) == 0 {
			w.mutex.Unlock()
			return
		}
		next := w.queue[0]
		w.queue = w.queue[1:]
		w.mutex.Unlock()
		w.saved(next.Number, w.disk.Save(next))
	}
}

// close ends the writer. It does not wait for a disk that hangs.
func (w *diskWriter) close() {
	w.mutex.Lock()
	w.closed = true
	w.mutex.Unlock()
	w.wake.Signal()
}
