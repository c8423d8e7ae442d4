// Package logwriter writes log lines and delays the code that logs only briefly: a standard error that accepts nothing for a
// while (a full pipe, a busy disk) must not stop the loop that answers requests.
//
// It does not format lines and does not interpret log levels. Invariants: lines are written completely and in order; Write
// returns within MaxWait, and at once while earlier lines are late; at most MaxQueued lines wait; further lines are dropped,
// counted, and reported once the queue is empty. Unless the output is late, a line has been written when Write returns, so that
// an observer of a later effect of the process finds the line in the log.
package logwriter

import (
	"bytes"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// IgnoreClosedReaders keeps the process from ending by SIGPIPE when it writes to its standard output or standard error after the
// reader of the pipe has gone: the write returns EPIPE. Processes that it starts get the default handling of SIGPIPE.
func IgnoreClosedReaders() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
}

const (
	// MaxWait is how long Write may block.
	MaxWait = 5 * time.Millisecond
	// MaxQueued is how many lines may wait to be written.
	MaxQueued = 512
)

// flushTimeout is how long Run waits for the last lines of the log to be written.
const flushTimeout = 500 * time.Millisecond

// Run runs a program whose standard error is a Writer to output, and returns its exit code once the last lines are written or
// output has accepted nothing for half a second. It calls IgnoreClosedReaders. reportDropped writes to output how many lines were
// dropped.
func Run(output io.Writer, reportDropped func(output io.Writer, lines int), program func(stderr io.Writer) (exitCode int)) (exitCode int) {
	IgnoreClosedReaders()
	w := New(output, func(lines int) { reportDropped(output, lines) })
	defer w.Close(flushTimeout)
	return program(w)
}

// Writer is an io.Writer for log lines. The caller of New must close it. It is safe for concurrent use.
type Writer struct {
	output    io.Writer
	onDropped func(lines int) // reports to the same output how many lines were dropped
	lines     chan line
	ended     chan struct{}

	mu         sync.Mutex
	closed     bool
	behind     bool // a line was late, and the queue has not been empty since
	unreported int  // number of dropped lines that onDropped has not been called for
}

// line is a queued line; written is closed once it is written.
type line struct {
	text    []byte
	written chan struct{}
}

// New starts a writer to output. After lines were dropped, the writer's goroutine calls onDropped once the queue is empty.
func New(output io.Writer, onDropped func(lines int)) *Writer {
	w := &Writer{output: output, onDropped: onDropped, lines: make(chan line, MaxQueued), ended: make(chan struct{})}
	go w.run()
	return w
}

// run writes the queued lines until Close.
func (w *Writer) run() {
	defer close(w.ended)
	for l := range w.lines {
		_, _ = w.output.Write(l.text) // an error of the log output cannot be reported anywhere
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

// Write implements io.Writer. text must consist of one or more complete lines; Write copies it. It never returns an error.
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

// Close waits until all accepted lines are written, but no longer than limit. Lines written after Close are dropped.
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
