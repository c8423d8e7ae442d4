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

// A trace is a text file of JSON objects, one a line, in order of their due times; equal times are allowed:
//
//	{"due_us":1250000,"class":"permit-lookup","tenant":"kamikawa-motors","about":"77","wait_us":2500000}
//
// due_us counts from the start, in microseconds, and is the only field that must be there. What is left out is drawn
// from the scenario's mix. Unknown fields are errors, as are empty lines.
type traceLine struct {
	Due    *int64 `json:"due_us"`
	Class  string `json:"class,omitempty"`
	Tenant string `json:"tenant,omitempty"`
	About  string `json:"about,omitempty"`
	Wait   int64  `json:"wait_us,omitempty"`
}

// maxTraceLine bounds one line, in bytes.
const maxTraceLine = 16 << 10

// Trace plays a recorded trace. It holds one line at a time.
type Trace struct {
	file  string
	in    *bufio.Reader
	close io.Closer
	check *scenario.Scenario // names must be its; nil: any do
	no    int
	last  int64
}

// OpenTrace opens the trace at path.
func OpenTrace(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	t := NewTrace(path, f)
	t.close = f
	return t, nil
}

// NewTrace reads a trace; file is its name in errors.
func NewTrace(file string, r io.Reader) *Trace {
	return &Trace{file: file, in: bufio.NewReaderSize(r, maxTraceLine)}
}

// Next reads the next line. An error names it, and nothing behind it is read.
func (t *Trace) Next() (Arrival, error) {
	raw, err := t.in.ReadSlice('\n')
	t.no++
	switch {
	case errors.Is(err, io.EOF) && len(raw) == 0:
		return Arrival{}, errors.Join(io.EOF, t.Close())
	case errors.Is(err, bufio.ErrBufferFull):
		return Arrival{}, t.wrong("line", "over %d bytes", maxTraceLine)
	case err != nil && !errors.Is(err, io.EOF):
		return Arrival{}, fmt.Errorf("%s:%d: %w", t.file, t.no, err)
	}
	var line traceLine
	if err := decodeLine(raw, &line); err != nil {
		return Arrival{}, t.wrong("line", "%v; a line is such as {\"due_us\":1250000,\"class\":\"permit-lookup\"}", err)
	}
	switch {
	case line.Due == nil:
		return Arrival{}, t.wrong("due_us", "missing: microseconds from the start")
	case *line.Due < t.last:
		return Arrival{}, t.wrong("due_us", "%d comes after %d: lines must be in order of time", *line.Due, t.last)
	case *line.Due < 0 || *line.Due > int64(maxDue/time.Microsecond):
		return Arrival{}, t.wrong("due_us", "%d is not between 0 and 1000 hours", *line.Due)
	case line.Wait < 0 || line.Wait > int64(maxDue/time.Microsecond):
		return Arrival{}, t.wrong("wait_us", "%d is not between 0 and 1000 hours", line.Wait)
	case t.check != nil && line.Class != "" && t.check.Class(line.Class) < 0:
		return Arrival{}, t.wrong("class", "%q is no class of the scenario", line.Class)
	}
	t.last = *line.Due
	return Arrival{
		Due: time.Duration(*line.Due) * time.Microsecond, Class: line.Class, Tenant: line.Tenant, About: line.About,
		Wait: time.Duration(line.Wait) * time.Microsecond,
	}, nil
}

const maxDue = 1000 * time.Hour

// Close closes the file; reading to the end does too.
func (t *Trace) Close() error {
	if t.close == nil {
		return nil
	}
	c := t.close
	t.close = nil
	return c.Close()
}

func (t *Trace) wrong(field, format string, args ...any) error {
	return &scenario.Error{File: t.file, Line: t.no, Field: field, Msg: fmt.Sprintf(format, args...)}
}

// decodeLine takes one object with known fields, and nothing behind it.
func decodeLine(raw []byte, into *traceLine) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		if errors.Is(err, io.EOF) {
			return errors.New("empty")
		}
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one object")
	}
	return nil
}

// TraceWriter records arrivals as a trace. It is safe for concurrent use; arrivals must come in order of time, as a
// Runner hands them out.
type TraceWriter struct {
	mu  sync.Mutex
	out *bufio.Writer
	err error
}

// NewTraceWriter writes to w; Flush ends it.
func NewTraceWriter(w io.Writer) *TraceWriter { return &TraceWriter{out: bufio.NewWriter(w)} }

// Write adds one arrival.
func (t *TraceWriter) Write(a Arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	due := a.Due.Microseconds()
	text, err := json.Marshal(traceLine{Due: &due, Class: a.Class, Tenant: a.Tenant, About: a.About, Wait: a.Wait.Microseconds()})
	if err == nil {
		_, err = t.out.Write(append(text, '\n'))
	}
	t.err = errors.Join(t.err, err)
}

// Flush writes what is left, and gives the first error of all.
func (t *TraceWriter) Flush() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return errors.Join(t.err, t.out.Flush())
}

// CheckTrace reads a trace from end to end, and gives the first thing that is wrong with it.
func CheckTrace(path string, s *scenario.Scenario) error {
	t, err := OpenTrace(path)
	if err != nil {
		return err
	}
	defer func() { _ = t.Close() }()
	for t.check = s; ; {
		if _, err := t.Next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}
