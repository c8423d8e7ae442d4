package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"

	"petrelhook/internal/message"
	"petrelhook/internal/upstream"
)

const loadHeader = "Endpoint-Load-Metrics"

// answers reads what a server sends on a connection. No more than a bound is read of it, whatever it says of its
// length: what a server sends beyond that stays unread, and its connection is closed.
type answers struct {
	*bufio.Reader
	limit *io.LimitedReader
}

var readers = sync.Pool{New: func() any {
	limit := &io.LimitedReader{}
	return &answers{Reader: bufio.NewReaderSize(limit, 4<<10), limit: limit}
}}

func newAnswers(c net.Conn) *answers {
	a := readers.Get().(*answers)
	a.limit.R, a.limit.N = c, 0
	a.Reset(a.limit)
	return a
}

// free gives the reader back; it must not be used any more.
func (a *answers) free() {
	a.limit.R = nil
	readers.Put(a)
}

// read reads one answer, behind any 1xx ones, and says whether the connection can be used again. Only a whole 200 is
// served; only a server's word proves that nothing ran. What was spoilt on its way has come from a server that is
// there: that is an error. A reset is the connection's end.
func (a *answers) read(method string, fields []string, room *room) (r upstream.Outcome, keep bool) {
	a.limit.N = message.MaxHead // for all heads together
	resp, err := http.ReadResponse(a.Reader, &http.Request{Method: method})
	for err == nil && resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(a.Reader, &http.Request{Method: method})
	}
	if err != nil {
		return a.broken(err), false
	}
	whole := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	// The body is not closed: that would read it to its end.
	body, release, err := a.body(resp, room)
	switch err {
	case nil:
	case errTooLarge:
		return upstream.Outcome{Result: upstream.Failed, Err: err}, false
	case errNoRoom:
		return upstream.Outcome{Result: upstream.Cancelled, Err: err}, false
	default:
		return a.broken(err), false
	}
	r = upstream.Outcome{Result: upstream.Failed, Report: parseReport(resp.Header.Get(loadHeader), fields)}
	keep = whole && !resp.Close
	switch {
	case !whole:
		r.Result, r.Err = upstream.Reset, errors.New("an answer of unknown length")
	case resp.StatusCode == http.StatusOK:
		r.Result, r.Reply = upstream.Served, message.Reply{Header: resp.Header, Body: body, Release: release}
		return r, keep
	case (resp.StatusCode == 503 || resp.StatusCode == 504) && resp.Header.Get("X-Never-Ran") == "1":
		r.Result, r.Err = upstream.TurnedAway, errors.New(resp.Status)
	default:
		r.Err = errors.New(resp.Status)
	}
	if release != nil { // it is not passed on
		release()
	}
	return r, keep
}

// broken tells how an answer that cannot be read went wrong.
func (a *answers) broken(err error) upstream.Outcome {
	var failed net.Error
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	if errors.As(err, &failed) || ended && a.limit.N > 0 {
		return upstream.Outcome{Result: upstream.Reset, Err: err}
	}
	return upstream.Outcome{Result: upstream.Failed, Err: err}
}
