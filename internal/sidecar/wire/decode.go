// Package wire translates the simulator's binary frames and the settings to types of package balance, and actions to frames. It
// makes no decisions. A frame from the simulator has a header (number of records, size, clock) and records, each an event for one
// instance of the balancer. It is answered by one frame of actions, a Reply. All numbers are big-endian. A Reader or a Reply is
// used by one goroutine at a time.
package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"petrelhook/balance"
)

// Codes of records. All but the server table are events; later lists refer to a table.
const (
	eventServerTable     = 1000
	eventRequest         = 1010
	eventTimer           = 1020
	eventResponseStarted = 1030
	eventServerList      = 1040
	eventMessage         = 1050
	eventInstanceKilled  = 1060
	eventInstanceStarted = 1070
	eventProbeResult     = 1080
	eventOutcome         = 1090
	eventClientGone      = 1100
)

const (
	headerSize = 16
	entrySize  = 23      // bytes of a server in a table
	maxFrame   = 1 << 28 // bytes; far above any frame of the simulator
	maxTables  = 16

	// Flags of a request.
	flagHint  = 1 // the work hint is given
	flagRetry = 2
	flagWrite = 4
)

var serverStatesByCode = map[uint8]balance.ServerState{0: balance.Ready, 2: balance.Draining, 1: balance.Removed}

var listKindsByCode = map[uint8]balance.ListKind{
	0: balance.ListFull, 1: balance.ListCached, 3: balance.ListDelta, 2: balance.ListFailed,
}

var resultsByCode = map[uint16]balance.Result{
	0: balance.OK, 13: balance.Failed, 8: balance.Rejected, 4: balance.TimedOut,
	14: balance.ConnectFailed, 10: balance.Reset, 1: balance.Cancelled, 9: balance.NotSent,
}

// InstanceStarted starts an instance. Settings is the JSON profile for ParseSettings; Reader.Read limits how long it is valid.
type InstanceStarted struct {
	Seed     uint64
	Settings []byte
}

// InstanceKilled says that an instance was killed.
type InstanceKilled struct{}

// Record is one event for one instance: an InstanceStarted, an InstanceKilled or a balance.Event.
type Record struct {
	Instance uint16
	Event    any
}

// Reader reads frames. It keeps server tables across frames.
type Reader struct {
	input  io.Reader
	frame  bytes.Buffer // the current frame without its header
	tables [maxTables][]balance.Server
	sent   [maxTables]bool // which tables were received
	report []float32       // the last load report; the slice is reused
}

// NewReader returns a reader of the frames from in, which should be buffered.
func NewReader(in io.Reader) *Reader { return &Reader{input: in} }

// Read calls handle for each event of the next frame, in order, with the frame's clock in milliseconds. It returns io.EOF itself
// at an end of input between frames. Any other error comes from handle, or means that the frame is malformed or truncated; it
// says at which byte if a record is the cause, and nothing can be read after it. Slices in events are valid only until handle
// returns.
func (r *Reader) Read(handle func(clock float64, rec Record) error) error {
	var header [headerSize]byte
	if _, err := io.ReadFull(r.input, header[:]); err != nil {
		if err == io.EOF {
			return io.EOF
		}
		return fmt.Errorf("truncated frame header: %w", err)
	}
	count := binary.BigEndian.Uint32(header[0:])
	size := binary.BigEndian.Uint32(header[4:])
	clock := math.Float64frombits(binary.BigEndian.Uint64(header[8:]))
	if size < headerSize || size > maxFrame {
		return fmt.Errorf("frame length %d: want %d to %d bytes", size, headerSize, maxFrame)
	}
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return fmt.Errorf("frame clock is %v, want a finite number", clock)
	}
	r.frame.Reset()
	// The buffer grows with what arrives, not with what the header claims.
	if n, err := io.CopyN(&r.frame, r.input, int64(size-headerSize)); err != nil {
		return fmt.Errorf("frame of %d bytes truncated after %d: %w", size, n+headerSize, err)
	}
	fields := frameFields{data: r.frame.Bytes()}
	for i := uint32(0); i < count; i++ {
		at := fields.pos
		rec, err := r.readRecord(&fields)
		if err != nil {
			return fmt.Errorf("record %d at byte %d: %w", i, at+headerSize, err)
		}
		if rec.Event == nil {
			continue
		}
		if err := handle(clock, rec); err != nil {
			return fmt.Errorf("record %d at byte %d: %w", i, at+headerSize, err)
		}
	}
	if fields.pos != len(fields.data) {
		return fmt.Errorf("%d bytes after the last of %d records", len(fields.data)-fields.pos, count)
	}
	return nil
}

// readRecord reads the next record. A server table is kept for later lists and has a nil Event.
func (r *Reader) readRecord(f *frameFields) (Record, error) {
	code, instanceOrTable := f.u16(), f.u16()
	if f.truncated {
		return Record{}, errTruncated
	}
	rec := Record{Instance: instanceOrTable}
	var err error
	switch code {
	case eventServerTable:
		err = r.readServerTable(f, instanceOrTable)
	case eventInstanceStarted:
		seed := f.u64()
		rec.Event = InstanceStarted{Seed: seed, Settings: f.bytes(f.u32())}
	case eventInstanceKilled:
		rec.Event = InstanceKilled{}
	case eventServerList:
		rec.Event, err = r.readServerList(f)
	case eventRequest:
		rec.Event = readRequest(f)
	case eventTimer:
		rec.Event = balance.Timer{Token: f.u64()}
	case eventResponseStarted:
		ev := balance.ResponseStarted{Request: balance.RequestID(f.u64()), Attempt: int(f.u8()), Server: f.server()}
		ev.Latency = f.f64()
		rec.Event = ev
	case eventOutcome:
		rec.Event, err = r.readOutcome(f)
	case eventClientGone:
		rec.Event = balance.ClientGone{Request: balance.RequestID(f.u64())}
	case eventProbeResult:
		rec.Event, err = r.readProbeResult(f)
	case eventMessage:
		from := int(f.u16())
		rec.Event = balance.Message{From: from, Data: f.bytes(uint32(f.u16()))}
	default:
		return rec, fmt.Errorf("unknown event code %d", code)
	}
	if err == nil && f.truncated {
		err = errTruncated
	}
	if err != nil {
		return rec, fmt.Errorf("event code %d: %w", code, err)
	}
	return rec, nil
}

// readServerTable reads a table of servers and keeps it under its number for later lists.
func (r *Reader) readServerTable(f *frameFields, table uint16) error {
	if table >= maxTables {
		return fmt.Errorf("server table %d: want 0 to %d", table, maxTables-1)
	}
	n := f.u32()
	if uint64(n)*entrySize > uint64(len(f.data)-f.pos) {
		return fmt.Errorf("%d entries: %w", n, errTruncated)
	}
	list := make([]balance.Server, n)
	for i := range list {
		s := &list[i]
		s.StartedAt = f.f64()
		code := f.u8()
		state, ok := serverStatesByCode[code]
		if !ok {
			return fmt.Errorf("entry %d: unknown server state %d", i, code)
		}
		s.State = state
		s.ID = f.server()
		s.Capacity = float64(f.f32())
		s.Cell, s.Zone, s.Kind = int(f.u16()), int(f.u8()), int(f.u8())
	}
	r.tables[table], r.sent[table] = list, true
	return nil
}

// readServerList reads a list, which refers to an earlier table unless it is a ListFailed.
func (r *Reader) readServerList(f *frameFields) (any, error) {
	code, _, table := f.u8(), f.u32(), f.u16()
	if f.truncated {
		return nil, errTruncated
	}
	kind, ok := listKindsByCode[code]
	switch {
	case !ok:
		return nil, fmt.Errorf("unknown list kind %d", code)
	case kind == balance.ListFailed: // it has no table
		return balance.ServerList{Kind: kind}, nil
	case table >= maxTables || !r.sent[table]:
		return nil, fmt.Errorf("server table %d was never sent", table)
	}
	return balance.ServerList{Kind: kind, Servers: r.tables[table]}, nil
}

func readRequest(f *frameFields) balance.Request {
	ev := balance.Request{ID: balance.RequestID(f.u64()), Tenant: int(f.u16())}
	hint, flags := f.f64(), f.u16()
	if flags&flagHint != 0 {
		ev.WorkHint = hint
	}
	ev.ClientRetry, ev.Write = flags&flagRetry != 0, flags&flagWrite != 0
	ev.Key, ev.Remaining = f.u64(), f.f64()
	ev.Class = int(f.u16())
	return ev
}

func (r *Reader) readOutcome(f *frameFields) (any, error) {
	ev := balance.Outcome{Request: balance.RequestID(f.u64()), Attempt: int(f.u8()), Server: f.server()}
	code := f.u16()
	ev.Latency, ev.Finished = f.f64(), f.u8() != 0
	ev.LoadReport = r.readLoadReport(f)
	var err error
	ev.Result, err = resultOf(code, f)
	return ev, err
}

func (r *Reader) readProbeResult(f *frameFields) (any, error) {
	ev := balance.ProbeResult{Latency: f.f64()}
	code := f.u16()
	ev.Server, ev.LoadReport = f.server(), r.readLoadReport(f)
	var err error
	ev.Result, err = resultOf(code, f)
	return ev, err
}

// resultOf translates the code of a result. It reports no error for a truncated record, whose code has no meaning; readRecord
// does.
func resultOf(code uint16, f *frameFields) (balance.Result, error) {
	result, ok := resultsByCode[code]
	if !ok && !f.truncated {
		return 0, fmt.Errorf("unknown result %d", code)
	}
	return result, nil
}

// readLoadReport reads the numbers of a load report. The next call reuses the slice.
func (r *Reader) readLoadReport(f *frameFields) []float32 {
	r.report = r.report[:0]
	for n := f.u8(); n > 0; n-- {
		r.report = append(r.report, f.f32())
	}
	return r.report
}
