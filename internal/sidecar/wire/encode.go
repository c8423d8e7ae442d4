package wire

import (
	"encoding/binary"
	"io"
	"math"

	"petrelhook/balance"
)

// Action codes.
const (
	codeSend    = 1000
	codeRefuse  = 1010
	codeFail    = 1020
	codeCancel  = 1030
	codeTimer   = 1040
	codeProbe   = 1050
	codeClose   = 1060
	codePost    = 1070
	codeTrace   = 1080
	codeFault   = 1090
	codeWatch   = 1100
	codeFetch   = 1110
	everyPeer   = 0xffffffff
	maxText     = 0xffff
	replyHeader = 4
)

// Reply gathers the actions that answer one frame.
type Reply struct{ buf []byte }

// Reset empties the reply.
func (r *Reply) Reset() { r.buf = append(r.buf[:0], 0, 0, 0, 0) }

// WriteTo writes the reply as one frame.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.BigEndian.PutUint32(r.buf, uint32(len(r.buf)))
	n, err := w.Write(r.buf)
	return int64(n), err
}

// Add appends the actions of one instance.
func (r *Reply) Add(instance uint16, actions []balance.Action) {
	for i := range actions {
		r.add(instance, &actions[i])
	}
}

// Fault reports that an instance's decision code broke.
func (r *Reply) Fault(instance uint16, text string) {
	r.head(codeFault, instance)
	r.text([]byte(text))
}

func (r *Reply) add(instance uint16, a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		r.head(codeSend, instance)
		r.u64(uint64(a.Request))
		r.f64(a.After)
		r.server(a.Server)
	case balance.Reject:
		r.head(codeRefuse, instance)
		r.u64(uint64(a.Request))
		r.f64(a.After)
	case balance.Fail:
		r.head(codeFail, instance)
		r.u64(uint64(a.Request))
	case balance.Cancel:
		r.head(codeCancel, instance)
		r.u64(uint64(a.Request))
		r.buf = append(r.buf, uint8(a.Attempt))
	case balance.SetTimer:
		r.head(codeTimer, instance)
		r.u64(a.Token)
		r.f64(a.After)
	case balance.Probe:
		r.head(codeProbe, instance)
		r.server(a.Server)
	case balance.CloseIdle:
		r.head(codeClose, instance)
		r.server(a.Server)
	case balance.SendToPeer:
		r.head(codePost, instance)
		peer := uint32(everyPeer)
		if a.Peer >= 0 {
			peer = uint32(a.Peer)
		}
		r.buf = binary.BigEndian.AppendUint32(r.buf, peer)
		r.text(a.Data)
	case balance.Log:
		r.head(codeTrace, instance)
		r.text([]byte(a.Text))
	case balance.WatchList:
		r.head(codeWatch, instance)
		r.buf = append(r.buf, 1)
	case balance.FetchList:
		r.head(codeFetch, instance)
	}
}

func (r *Reply) head(code, instance uint16) {
	r.buf = binary.BigEndian.AppendUint16(r.buf, code)
	r.buf = binary.BigEndian.AppendUint16(r.buf, instance)
}

func (r *Reply) u64(v uint64)  { r.buf = binary.BigEndian.AppendUint64(r.buf, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

func (r *Reply) server(id balance.ServerID) {
	r.buf = binary.BigEndian.AppendUint32(r.buf, uint32(id>>16))
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(id))
}

func (r *Reply) text(b []byte) {
	if len(b) > maxText {
		b = b[:maxText]
	}
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(len(b)))
	r.buf = append(r.buf, b...)
}
