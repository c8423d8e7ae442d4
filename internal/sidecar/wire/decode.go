// Package wire translates the simulator's binary frames and settings to the types
// of package balance and back. It takes no decisions.
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"petrelhook/balance"
)

// Event codes.
const (
	codeSheet   = 1000
	codeAsk     = 1010
	codeAlarm   = 1020
	codeStarted = 1030
	codeList    = 1040
	codeHeard   = 1050
	codeDown    = 1060
	codeBegin   = 1070
	codeProbed  = 1080
	codeEnded   = 1090
	codeHangup  = 1100
)

const (
	headerSize = 16
	entrySize  = 23
	maxFrame   = 1 << 28 // far above any batch of the simulator
	maxTables  = 16
)

var results = map[uint16]balance.Result{
	0: balance.OK, 13: balance.Failed, 8: balance.Rejected, 4: balance.TimedOut,
	14: balance.ConnectFailed, 10: balance.Reset, 1: balance.Cancelled, 9: balance.NotSent,
}

// Begin starts an instance; Settings is the raw profile for ParseSettings.
type Begin struct {
	Seed     uint64
	Settings []byte
}

// Down says that an instance was killed.
type Down struct{}

// Record is one event for one instance: a Begin, a Down or a balance.Event.
type Record struct {
	Instance uint16
	Event    any
}

// Reader reads frames. Server tables live across frames.
type Reader struct {
	in     io.Reader
	buf    bytes.Buffer
	tables [maxTables][]balance.Server
	known  [maxTables]bool
	report []float32
}

// NewReader returns a reader of the frames of in, which should be buffered.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Read hands the events of the next frame to handle, in order, with the frame's clock.
// It returns io.EOF at an end of input between frames. Slices in events are valid
// during the call only.
func (r *Reader) Read(handle func(clock float64, rec Record) error) error {
	var head [headerSize]byte
	if _, err := io.ReadFull(r.in, head[:]); err != nil {
		if err == io.EOF {
			return io.EOF
		}
		return fmt.Errorf("frame header cut short: %w", err)
	}
	count := binary.BigEndian.Uint32(head[0:])
	size := binary.BigEndian.Uint32(head[4:])
	clock := math.Float64frombits(binary.BigEndian.Uint64(head[8:]))
	if size < headerSize || size > maxFrame {
		return fmt.Errorf("frame length %d: want %d to %d", size, headerSize, maxFrame)
	}
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return fmt.Errorf("frame clock is %v", clock)
	}
	r.buf.Reset()
	// The buffer grows with what arrives, not with what the header claims.
	if n, err := io.CopyN(&r.buf, r.in, int64(size-headerSize)); err != nil {
		return fmt.Errorf("frame of %d bytes cut short after %d: %w", size, n+headerSize, err)
	}
	f := fields{data: r.buf.Bytes()}
	for i := uint32(0); i < count; i++ {
		at := f.pos
		rec, err := r.record(&f)
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
	if f.pos != len(f.data) {
		return fmt.Errorf("%d bytes after the last of %d records", len(f.data)-f.pos, count)
	}
	return nil
}

func (r *Reader) record(f *fields) (Record, error) {
	code, first := f.u16(), f.u16()
	if f.bad {
		return Record{}, errShort
	}
	rec := Record{Instance: first}
	var err error
	switch code {
	case codeSheet:
		err = r.sheet(f, first)
	case codeBegin:
		seed := f.u64()
		rec.Event = Begin{Seed: seed, Settings: f.bytes(f.u32())}
	case codeDown:
		rec.Event = Down{}
	case codeList:
		rec.Event, err = r.list(f)
	case codeAsk:
		rec.Event = ask(f)
	case codeAlarm:
		rec.Event = balance.Timer{Token: f.u64()}
	case codeStarted:
		ev := balance.ResponseStarted{Request: balance.RequestID(f.u64()), Attempt: int(f.u8()), Server: f.server()}
		ev.Latency = f.f64()
		rec.Event = ev
	case codeEnded:
		rec.Event, err = r.ended(f)
	case codeHangup:
		rec.Event = balance.ClientGone{Request: balance.RequestID(f.u64())}
	case codeProbed:
		rec.Event, err = r.probed(f)
	case codeHeard:
		from := int(f.u16())
		rec.Event = balance.Message{From: from, Data: f.bytes(uint32(f.u16()))}
	default:
		return rec, fmt.Errorf("unknown event code %d", code)
	}
	if err == nil && f.bad {
		err = errShort
	}
	if err != nil {
		return rec, fmt.Errorf("event code %d: %w", code, err)
	}
	return rec, nil
}

func (r *Reader) sheet(f *fields, table uint16) error {
	if table >= maxTables {
		return fmt.Errorf("server table %d: want 0 to %d", table, maxTables-1)
	}
	n := f.u32()
	if uint64(n)*entrySize > uint64(len(f.data)-f.pos) {
		return fmt.Errorf("%d entries: %w", n, errShort)
	}
	list := make([]balance.Server, n)
	for i := range list {
		s := &list[i]
		s.StartedAt = f.f64()
		switch state := f.u8(); state {
		case 0:
			s.State = balance.Ready
		case 2:
			s.State = balance.Draining
		case 1:
			s.State = balance.Removed
		default:
			return fmt.Errorf("entry %d: unknown condition %d", i, state)
		}
		s.ID = f.server()
		s.Capacity = float64(f.f32())
		s.Cell, s.Zone, s.Kind = int(f.u16()), int(f.u8()), int(f.u8())
	}
	r.tables[table], r.known[table] = list, true
	return nil
}

func (r *Reader) list(f *fields) (any, error) {
	how, _, table := f.u8(), f.u32(), f.u16()
	if f.bad {
		return nil, errShort
	}
	ev := balance.ServerList{}
	switch how {
	case 0:
		ev.Kind = balance.ListFull
	case 1:
		ev.Kind = balance.ListCached
	case 3:
		ev.Kind = balance.ListDelta
	case 2:
		return balance.ServerList{Kind: balance.ListFailed}, nil
	default:
		return nil, fmt.Errorf("unknown list kind %d", how)
	}
	if table >= maxTables || !r.known[table] {
		return nil, fmt.Errorf("server table %d was never sent", table)
	}
	ev.Servers = r.tables[table]
	return ev, nil
}

func ask(f *fields) balance.Request {
	ev := balance.Request{ID: balance.RequestID(f.u64()), Tenant: int(f.u16())}
	hint, bits := f.f64(), f.u16()
	if bits&1 != 0 {
		ev.WorkHint = hint
	}
	ev.ClientRetry, ev.Write = bits&2 != 0, bits&4 != 0
	ev.Key, ev.Remaining = f.u64(), f.f64()
	ev.Class = int(f.u16())
	return ev
}

func (r *Reader) ended(f *fields) (any, error) {
	ev := balance.Outcome{Request: balance.RequestID(f.u64()), Attempt: int(f.u8()), Server: f.server()}
	code := f.u16()
	ev.Latency, ev.Finished = f.f64(), f.u8() != 0
	ev.LoadReport = r.floats(f)
	var err error
	ev.Result, err = result(code, f)
	return ev, err
}

func (r *Reader) probed(f *fields) (any, error) {
	ev := balance.ProbeResult{Latency: f.f64()}
	code := f.u16()
	ev.Server, ev.LoadReport = f.server(), r.floats(f)
	var err error
	ev.Result, err = result(code, f)
	return ev, err
}

func result(code uint16, f *fields) (balance.Result, error) {
	res, ok := results[code]
	if !ok && !f.bad {
		return 0, fmt.Errorf("unknown result %d", code)
	}
	return res, nil
}

func (r *Reader) floats(f *fields) []float32 {
	r.report = r.report[:0]
	for n := f.u8(); n > 0; n-- {
		r.report = append(r.report, f.f32())
	}
	return r.report
}

var errShort = errors.New("record runs past the end of the frame")

// fields takes values off a frame. A read past the end sets bad and gives zero.
type fields struct {
	data []byte
	pos  int
	bad  bool
}

func (f *fields) bytes(n uint32) []byte {
	if uint64(n) > uint64(len(f.data)-f.pos) {
		f.bad, f.pos = true, len(f.data)
		return nil
	}
	f.pos += int(n)
	return f.data[f.pos-int(n) : f.pos : f.pos]
}

func (f *fields) u8() uint8 {
	if b := f.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *fields) u16() uint16 {
	if b := f.bytes(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (f *fields) u32() uint32 {
	if b := f.bytes(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (f *fields) u64() uint64 {
	if b := f.bytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// f64 reads a number; what is no finite number counts as absent.
func (f *fields) f64() float64 {
	v := math.Float64frombits(f.u64())
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

func (f *fields) f32() float32 {
	v := math.Float32frombits(f.u32())
	if v != v || math.IsInf(float64(v), 0) {
		return 0
	}
	return v
}

// server packs four bytes of address and a port into an ID.
func (f *fields) server() balance.ServerID {
	host := f.u32()
	return balance.ServerID(uint64(host)<<16 | uint64(f.u16()))
}
