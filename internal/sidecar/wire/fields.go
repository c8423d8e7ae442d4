package wire

import (
	"encoding/binary"
	"errors"
	"math"

	"petrelhook/balance"
)

// errTruncated is the error for a record that is longer than the rest of its frame.
var errTruncated = errors.New("record runs past the end of the frame")

// frameFields reads values from a frame. A read past the end sets truncated and returns zero.
type frameFields struct {
	data      []byte
	pos       int
	truncated bool
}

// bytes returns the next n bytes as a slice of the frame.
func (f *frameFields) bytes(n uint32) []byte {
	if uint64(n) > uint64(len(f.data)-f.pos) {
		f.truncated, f.pos = true, len(f.data)
		return nil
	}
	f.pos += int(n)
	return f.data[f.pos-int(n) : f.pos : f.pos]
}

func (f *frameFields) u8() uint8 {
	if b := f.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *frameFields) u16() uint16 {
	if b := f.bytes(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (f *frameFields) u32() uint32 {
	if b := f.bytes(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (f *frameFields) u64() uint64 {
	if b := f.bytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// f64 reads a number. Like f32, it returns 0 for NaN and infinities.
func (f *frameFields) f64() float64 {
	v := math.Float64frombits(f.u64())
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

func (f *frameFields) f32() float32 {
	v := math.Float32frombits(f.u32())
	if v != v || math.IsInf(float64(v), 0) {
		return 0
	}
	return v
}

// server reads an ID, sent as a four-byte address and a port.
func (f *frameFields) server() balance.ServerID {
	host := f.u32()
	return balance.ServerID(uint64(host)<<16 | uint64(f.u16()))
}
