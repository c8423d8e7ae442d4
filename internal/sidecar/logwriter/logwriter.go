// Package logwriter writes log lines without holding up who logs: a standard error that takes nothing for a while (a
// full pipe, a disk that is busy) must not stop the loop that answers requests.
//
// It does not format, and knows nothing of levels. Invariants: lines are written whole and in order; Write returns
// within Patience, and at once while lines are behind; at most MaxLines wait; what finds no room is dropped, counted,
// and told of once there is room again. A line that Write returned for in time has been written: who sees what a
// process did after it finds the line.
package logwriter

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// Patience is for how long a line may hold up who logs it.
	Patience = 5 * time.Millisecond
	// MaxLines is how many wait.
	MaxLines = 512
)

// Writer is one. It has to be closed.
type Writer struct {
	to      io.Writer
	dropped func(lines int) // tells of lines that were dropped, to the same end
	lines   chan line
	ended   chan struct{}

	mu     sync.Mutex
	closed bool
	behind bool // a line was not written in time, and those behind it are not all written yet
	lost   int  // lines dropped that nobody was told of
}

// line is one, and what is closed once it is written.
type line struct {
	text    []byte
	written chan struct{}
}

// New begins a writer. dropped is called, from one goroutine, as soon as there is room again after lines were dropped.
func New(to io.Writer, dropped func(lines int)) *Writer {
	w := &Writer{to: to, dropped: dropped, lines: make(chan line, MaxLines), ended: make(chan struct{})}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.ended)
	for l := range w.lines {
		w.to.Write(l.text) // whom would an error be told
		close(l.written)
		if len(w.lines) > 0 {
			continue
		}
		w.mu.Lock()
		lost := w.lost
		w.behind, w.lost = false, 0
		w.mu.Unlock()
		if lost > 0 {
			w.dropped(lost)
		}
	}
}

// Write implements io.Writer: text is one or more whole lines. It never fails.
func (w *Writer) Write(text []byte) (int, error) {
	l := line{bytes.Clone(text), make(chan struct{})}
	w.mu.Lock()
	wait := false
	if !w.closed {
		select {
		case w.lines <- l:
			wait = !w.behind
		default:
			w.lost++
		}
	}
	w.mu.Unlock()
	if !wait {
		return len(text), nil
	}
	late := time.NewTimer(Patience)
	defer late.Stop()
	select {
	case <-l.written:
	case <-late.C:
		w.mu.Lock()
		w.behind = true
		w.mu.Unlock()
	}
	return len(text), nil
}

// Close waits until all lines are written, for a time at most, and takes no more.
func (w *Writer) Close(most time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	late := time.NewTimer(most)
	defer late.Stop()
	select {
	case <-w.ended:
	case <-late.C:
	}
}
