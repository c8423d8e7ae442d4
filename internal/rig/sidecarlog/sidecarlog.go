// Package sidecarlog reads the log that the process of a sidecar writes: it finds the address at which the sidecar serves, and keeps the
// last lines for error messages.
package sidecarlog

import (
	"bufio"
	"io"
	"strings"
	"sync"
)

// maxLines is the number of lines that a Log keeps.
const maxLines = 10

// The line that a sidecar logs when it serves, as log/slog writes it, has both.
const (
	servingMessage = "msg=serving"
	listenKey      = "listen="
)

// Log is the log of one sidecar. One goroutine calls Read; the other methods may be called from any.
type Log struct {
	addr chan string

	mu    sync.Mutex
	lines []string
}

// New returns a log of which nothing has been read.
func New() *Log { return &Log{addr: make(chan string, 1)} }

// Read reads the log until it ends, which is when the process ends, and calls each, if not nil, with every line. From a line that is too
// long for a bufio.Scanner on the log is discarded, so that the process is never blocked by a full pipe.
func (l *Log) Read(r io.Reader, each func(line string)) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		l.add(line)
		if each != nil {
			each(line)
		}
		if addr, ok := servingAddr(line); ok {
			select {
			case l.addr <- addr:
			default: // it has logged that before, and nobody has received it
			}
		}
	}
	_, _ = io.Copy(io.Discard, r)
}

// Addr gets the address at which the sidecar listens, once it serves.
func (l *Log) Addr() <-chan string { return l.addr }

// servingAddr is the address in a line that says that the sidecar serves.
func servingAddr(line string) (addr string, ok bool) {
	_, rest, ok := strings.Cut(line, listenKey)
	if !ok || !strings.Contains(line, servingMessage) {
		return "", false
	}
	addr, _, _ = strings.Cut(rest, " ")
	return addr, true
}

func (l *Log) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lines = append(l.lines, line); len(l.lines) > maxLines {
		l.lines = l.lines[1:]
	}
}

// String returns the last ten lines.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n")
}
