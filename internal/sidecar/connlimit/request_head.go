package connlimit

import (
	"bytes"

	"petrelhook/internal/sidecar/message"
)

// requestHead holds the head of the current request as it was received, unless the request was received together with the
// previous one. It is guarded by Limiter.mu.
type requestHead struct {
	text     []byte
	complete bool
	ahead    []byte // bytes of the next request that net/http read, one at a time, while this one was in progress
}

// startNext moves on to the next request, and reports whether a part of it was received.
func (h *requestHead) startNext() (partial bool) {
	h.text, h.complete = append(h.text[:0], h.ahead...), false
	h.ahead = h.ahead[:0]
	return len(h.text) > 0
}

// add adds received bytes, and reports whether they belong to the next request. single is whether net/http asked for a single
// byte, as it does to notice that the client closes the connection.
func (h *requestHead) add(p []byte, single bool) (ahead bool) {
	if h.complete && single {
		h.ahead = append(h.ahead, p...)
		return true
	}
	if h.complete || len(h.text) > message.MaxHead {
		return false
	}
	before := max(0, len(h.text)-3) // the end of the head may be split between two reads
	h.text = append(h.text, p...)
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(h.text[before:], []byte(end)); i >= 0 {
			h.text, h.complete = h.text[:before+i+len(end)], true
		}
	}
	return false
}
