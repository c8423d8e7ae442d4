package arrival

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"petrelhook/internal/rig/scenario"
)

// A trace is a text file of JSON objects, one a line, in order of their scheduled times; equal times are valid:
//
//	{"due_us":1250000,"class":"permit-lookup","tenant":"kamikawa-motors","about":"77","wait_us":2500000}
//
// due_us counts from the start, in microseconds, and is the only required field. What is omitted is drawn from the scenario's mix.
// Unknown fields and empty lines are errors.
type traceLine struct {
	ScheduledMicros *int64 `json:"due_us"`
	Class           string `json:"class,omitempty"`
	Tenant          string `json:"tenant,omitempty"`
	Object          string `json:"about,omitempty"`
	PatienceMicros  int64  `json:"wait_us,omitempty"`
}

// maxTraceLine bounds one line, in bytes.
const maxTraceLine = 16 << 10

// Trace is the Schedule of a recorded trace. It has one line in memory at a time.
type Trace struct {
	file       string
	reader     *bufio.Reader
	closer     io.Closer
	scenario   *scenario.Scenario // classes must be of this scenario; nil: any class is valid
	lineNumber int
	lastMicros int64
}

// OpenTrace opens the trace at path.
func OpenTrace(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	t := NewTrace(path, f)
	t.closer = f
	return t, nil
}

// NewTrace reads a trace; file is its name in errors.
func NewTrace(file string, r io.Reader) *Trace {
	return &Trace{file: file, reader: bufio.NewReaderSize(r, maxTraceLine)}
}

// Next reads the next line. An error names the line; the caller must not go on after it.
func (t *Trace) Next() (Arrival, error) {
	raw, err := t.reader.ReadSlice('\n')
	t.lineNumber++
	switch {
	case errors.Is(err, io.EOF) && len(raw) == 0:
		return Arrival{}, errors.Join(io.EOF, t.Close())
	case errors.Is(err, bufio.ErrBufferFull):
		return Arrival{}, t.lineError("line", "over %d bytes", maxTraceLine)
	case err != nil && !errors.Is(err, io.EOF):
		return Arrival{}, fmt.Errorf("%s:%d: %w", t.file, t.lineNumber, err)
	}
	var line traceLine
	if err := decodeLine(raw, &line); err != nil {
		return Arrival{}, t.lineError("line", "%v; a line is such as {\"due_us\":1250000,\"class\":\"permit-lookup\"}", err)
	}
	switch {
	case line.ScheduledMicros == nil:
		return Arrival{}, t.lineError("due_us", "missing: microseconds from the start")
	case *line.ScheduledMicros < t.lastMicros:
		return Arrival{}, t.lineError("due_us", "%d comes after %d: lines must be in order of time", *line.ScheduledMicros, t.lastMicros)
	case *line.ScheduledMicros < 0 || *line.ScheduledMicros > int64(maxTraceTime/time.Microsecond):
		return Arrival{}, t.lineError("due_us", "%d is not between 0 and 1000 hours", *line.ScheduledMicros)
	case line.PatienceMicros < 0 || line.PatienceMicros > int64(maxTraceTime/time.Microsecond):
		return Arrival{}, t.lineError("wait_us", "%d is not between 0 and 1000 hours", line.PatienceMicros)
	case t.scenario != nil && line.Class != "" && t.scenario.Class(line.Class) < 0:
		return Arrival{}, t.lineError("class", "%q is no class of the scenario", line.Class)
	}
	t.lastMicros = *line.ScheduledMicros
	return Arrival{
		ScheduledAt: time.Duration(*line.ScheduledMicros) * time.Microsecond, Class: line.Class, Tenant: line.Tenant, Object: line.Object,
		Patience: time.Duration(line.PatienceMicros) * time.Microsecond,
	}, nil
}

// maxTraceTime bounds the times in a trace.
const maxTraceTime = 1000 * time.Hour

// Close closes the file. Reading to the end does so too.
func (t *Trace) Close() error {
	if t.closer == nil {
		return nil
	}
	c := t.closer
	t.closer = nil
	return c.Close()
}

// lineError is an error in a field of the present line.
func (t *Trace) lineError(field, format string, args ...any) error {
	return &scenario.Error{File: t.file, Line: t.lineNumber, Field: field, Message: fmt.Sprintf(format, args...)}
}

// decodeLine decodes one object with known fields and nothing after it.
func decodeLine(raw []byte, into *traceLine) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		if errors.Is(err, io.EOF) {
			return errors.New("empty")
		}
		return err
	}
	if rest := bytes.TrimLeft(raw[d.InputOffset():], " \t\r\n"); len(rest) > 0 {
		return errors.New("more than one object")
	}
	return nil
}

// TraceWriter records arrivals as a trace. It is safe for concurrent use; arrivals must be written in order of time, as
// load.Runner does.
type TraceWriter struct {
	mu     sync.Mutex
	writer *bufio.Writer
	err    error
}

// NewTraceWriter returns a TraceWriter to w. Flush has to be called at the end.
func NewTraceWriter(w io.Writer) *TraceWriter { return &TraceWriter{writer: bufio.NewWriter(w)} }

// Write adds one arrival.
func (t *TraceWriter) Write(a Arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	micros := a.ScheduledAt.Microseconds()
	text, err := json.Marshal(traceLine{ScheduledMicros: &micros, Class: a.Class, Tenant: a.Tenant, Object: a.Object, PatienceMicros: a.Patience.Microseconds()})
	if err == nil {
		_, err = t.writer.Write(append(text, '\n'))
	}
	t.err = errors.Join(t.err, err)
}

// Flush writes what is buffered, and returns all errors so far.
func (t *TraceWriter) Flush() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return errors.Join(t.err, t.writer.Flush())
}

// CheckTrace reads a trace to its end, and returns its first error.
func CheckTrace(path string, s *scenario.Scenario) error {
	t, err := OpenTrace(path)
	if err != nil {
		return err
	}
	defer func() { _ = t.Close() }()
	for t.scenario = s; ; {
		if _, err := t.Next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}
