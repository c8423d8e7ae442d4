package wire

import (
	"encoding/binary"
	"io"
	"math"

	"petrelhook/balance"
)

// Codes of actions.
const (
	actionSend       = 1000
	actionReject     = 1010
	actionFail       = 1020
	actionCancel     = 1030
	actionSetTimer   = 1040
	actionProbe      = 1050
	actionCloseIdle  = 1060
	actionSendToPeer = 1070
	actionLog        = 1080
	actionFault      = 1090
	actionWatchList  = 1100
	actionFetchList  = 1110
)

const (
	allPeers    = 0xffffffff // the receiver of a message to all peers
	maxTextSize = 0xffff     // bytes; longer text is truncated
)

// Reply collects the actions that answer one frame. Reset must be called before each use. The first four bytes hold the size.
type Reply struct{ buf []byte }

// Reset empties the reply and makes room for its size.
func (r *Reply) Reset() { r.buf = append(r.buf[:0], 0, 0, 0, 0) }

// WriteTo writes the reply as one frame. It implements io.WriterTo.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.BigEndian.PutUint32(r.buf, uint32(len(r.buf)))
	n, err := w.Write(r.buf)
	return int64(n), err
}

// Add appends the actions of one instance. It does not keep the slice.
func (r *Reply) Add(instance uint16, actions []balance.Action) {
	for i := range actions {
		r.add(instance, &actions[i])
	}
}

// Fault appends a report that an instance could not handle an event: its settings are invalid, the event is impossible, or the
// instance panicked.
func (r *Reply) Fault(instance uint16, text string) {
	r.header(actionFault, instance)
	r.text([]byte(text))
}

// add appends one action. It ignores actions of unknown kinds.
func (r *Reply) add(instance uint16, a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		r.header(actionSend, instance)
		r.u64(uint64(a.Request))
		r.f64(a.After)
		r.server(a.Server)
	case balance.Reject:
		r.header(actionReject, instance)
		r.u64(uint64(a.Request))
		r.f64(a.After)
	case balance.Fail:
		r.header(actionFail, instance)
		r.u64(uint64(a.Request))
	case balance.Cancel:
		r.header(actionCancel, instance)
		r.u64(uint64(a.Request))
		r.buf = append(r.buf, uint8(a.Attempt))
	case balance.SetTimer:
		r.header(actionSetTimer, instance)
		r.u64(a.Token)
		r.f64(a.After)
	case balance.Probe:
		r.header(actionProbe, instance)
		r.server(a.Server)
	case balance.CloseIdle:
		r.header(actionCloseIdle, instance)
		r.server(a.Server)
	case balance.SendToPeer:
		r.header(actionSendToPeer, instance)
		peer := uint32(allPeers)
		if a.Peer >= 0 {
			peer = uint32(a.Peer)
		}
		r.buf = binary.BigEndian.AppendUint32(r.buf, peer)
		r.text(a.Data)
	case balance.Log:
		r.header(actionLog, instance)
		r.text([]byte(a.Text))
	case balance.WatchList:
		r.header(actionWatchList, instance)
		r.buf = append(r.buf, 1)
	case balance.FetchList:
		r.header(actionFetchList, instance)
	}
}

func (r *Reply) header(code, instance uint16) {
	r.buf = binary.BigEndian.AppendUint16(r.buf, code)
	r.buf = binary.BigEndian.AppendUint16(r.buf, instance)
}

func (r *Reply) u64(v uint64)  { r.buf = binary.BigEndian.AppendUint64(r.buf, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

// server appends an ID as a four-byte address and a port; see frameFields.server.
func (r *Reply) server(id balance.ServerID) {
	r.buf = binary.BigEndian.AppendUint32(r.buf, uint32(id>>16))
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(id))
}

// text appends the length of a text and the text, truncated to maxTextSize.
func (r *Reply) text(b []byte) {
	if len(b) > maxTextSize {
		b = b[:maxTextSize]
	}
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(len(b)))
	r.buf = append(r.buf, b...)
}
