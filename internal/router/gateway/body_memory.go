package gateway

import "sync/atomic"

const (
	// smallBodyBytes is the size up to which a body may use all of the memory for bodies.
	smallBodyBytes = 64 << 10
	// largeBodiesFraction is the fraction of that memory which larger bodies may use, so that a few clients with large bodies do not
	// keep all others out.
	largeBodiesFraction = 0.75
)

// bodyMemory bounds the memory of the bodies of all requests in progress. Memory is reserved before it is used: bodies that arrive at the
// same time count from their first byte on. Its methods may be called from any goroutine.
type bodyMemory struct {
	limit    int64 // bytes; 0: unlimited
	reserved atomic.Int64
}

// reserve reserves memory for a part of a body and reports whether that was possible. bodyBytes is the size of the body with this
// part.
func (m *bodyMemory) reserve(partBytes, bodyBytes int64) bool {
	limit := m.limit
	if bodyBytes > smallBodyBytes {
		limit = int64(largeBodiesFraction * float64(limit))
	}
	if m.reserved.Add(partBytes) > limit && m.limit > 0 {
		m.release(partBytes)
		return false
	}
	return true
}

// release returns reserved memory.
func (m *bodyMemory) release(reservedBytes int64) { m.reserved.Add(-reservedBytes) }
