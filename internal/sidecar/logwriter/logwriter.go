// Package logwriter writes log lines without blocking the code that logs: a standard error that accepts nothing for a while (a full
// pipe, a busy disk) must not stop the loop that answers requests.
//
// It does not format lines and knows no levels. Invariants: lines are written completely and in order; Write returns within MaxWait,
// and at once while earlier lines are late; at most MaxQueued lines wait; further ones are dropped, counted, and reported once the
// queue is empty. A line whose Write returned in time has been written, so whoever sees a later effect of the process finds the line.
package logwriter

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// MaxWait is how long a Write may block.
	MaxWait = 5 * time.Millisecond
	// MaxQueued is how many lines may wait to be written.
	MaxQueued = 512
)

// Writer is an io.Writer for log lines. It has to be closed. It is safe for concurrent use.
type Writer struct {
	output    io.Writer
	onDropped func(lines int) // logs to the same output how many lines were dropped
	lines     chan line
	ended     chan struct{}

	mu         sync.Mutex
	closed     bool
	behind     bool // a line was late, and those behind it are not all written yet
	unreported int  // dropped lines that were not reported yet
}

// line is a queued line; written is closed once it is written.
type line struct {
	text    []byte
	written chan struct{}
}

// New starts a writer. onDropped is called from its goroutine when the queue is empty again after lines were dropped.
func New(output io.Writer, onDropped func(lines int)) *Writer {
	w := &Writer{output: output, onDropped: onDropped, lines: make(chan line, MaxQueued), ended: make(chan struct{})}
	go w.run()
	return w
}

// run writes the queued lines until Close.
func (w *Writer) run() {
	defer close(w.ended)
	for l := range w.lines {
		_, _ = w.output.Write(l.text) // there is nowhere to report an error of the log itself
		close(l.written)
		if len(w.lines) > 0 {
			continue
		}
		w.mu.Lock()
		dropped := w.unreported
		w.behind, w.unreported = false, 0
		w.mu.Unlock()
		if dropped > 0 {
			w.onDropped(dropped)
		}
	}
}

// Write implements io.Writer: text is one or more complete lines. It never returns an error.
func (w *Writer) Write(text []byte) (int, error) {
	l := line{bytes.Clone(text), make(chan struct{})}
	w.mu.Lock()
	wait := false
	if !w.closed {
		select {
		case w.lines <- l:
			wait = !w.behind
		default:
			w.unreported++
		}
	}
	w.mu.Unlock()
	if !wait {
		return len(text), nil
	}
	timeout := time.NewTimer(MaxWait)
	defer timeout.Stop()
	select {
	case <-l.written:
	case <-timeout.C:
		w.mu.Lock()
		w.behind = true
		w.mu.Unlock()
	}
	return len(text), nil
}

// Close accepts no more lines, and waits until all are written, for a time at most.
func (w *Writer) Close(limit time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case <-w.ended:
	case <-timeout.C:
	}
}
