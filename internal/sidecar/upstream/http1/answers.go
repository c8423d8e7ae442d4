package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
)

const loadHeader = "Endpoint-Load-Metrics"

// stall is for how long a server or a client may not move at all while a long message is passed on.
const stall = 10 * time.Second

// answers reads what a server sends on a connection. No more than a bound is read of it, whatever it says of its
// length: what a server sends beyond that stays unread, and its connection is closed.
type answers struct {
	*bufio.Reader
	limit *io.LimitedReader
	from  source
}

// source is a connection that is read at two paces: up to a moment, at which late is called once, and after that without
// an end but that of patience with one that does not move.
type source struct {
	net.Conn
	late   func() // nil: nobody waits for a moment
	moving bool   // a deadline for each read
}

// Read reads on over the moment: who reads from here never sees it.
func (s *source) Read(p []byte) (int, error) {
	if s.moving {
		s.SetReadDeadline(time.Now().Add(stall))
	}
	n, err := s.Conn.Read(p)
	if s.late != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		late := s.late
		s.late = nil
		late()
		if n > 0 {
			return n, nil
		}
		return s.Read(p)
	}
	return n, err
}

var readers = sync.Pool{New: func() any {
	a := &answers{}
	a.limit = &io.LimitedReader{R: &a.from}
	a.Reader = bufio.NewReaderSize(a.limit, 4<<10)
	return a
}}

func newAnswers(c net.Conn) *answers {
	a := readers.Get().(*answers)
	a.from, a.limit.N = source{Conn: c}, 0
	a.Reset(a.limit)
	return a
}

// free gives the reader back; it must not be used any more.
func (a *answers) free() {
	a.from = source{}
	readers.Put(a)
}

// read reads one answer, behind any 1xx ones, and says whether the connection can be used again. Only a whole 200 is
// served; only a server's word proves that nothing ran. What was spoilt on its way has come from a server that is
// there: that is an error. A reset is the connection's end. Where begun is not nil a long 200 is handed to it once it has
// begun, and what is returned says how the rest went.
func (a *answers) read(method string, fields []string, account *membudget.Budget, begun func(upstream.Outcome)) (r upstream.Outcome, keep bool) {
	a.limit.N = message.MaxHead // for all heads together
	resp, err := http.ReadResponse(a.Reader, &http.Request{Method: method})
	for err == nil && resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(a.Reader, &http.Request{Method: method})
	}
	if err != nil {
		return a.broken(err), false
	}
	if resp.ContentLength > message.MaxBody {
		return upstream.Outcome{Result: upstream.Failed, Err: errTooLong}, false
	}
	r = upstream.Outcome{Result: upstream.Failed, LoadReport: parseReport(resp.Header.Get(loadHeader), fields)}
	if resp.StatusCode != http.StatusOK {
		begun = nil // it is not passed on, and needs not be read to its end
	}
	h := &held{answers: a, room: account, most: message.MaxBuffered, begun: begun, outcome: r, header: resp.Header, size: resp.ContentLength}
	// The body is not closed: that would read it to its end.
	if err := h.take(resp); err != nil {
		h.drop(err)
		if errors.Is(err, errTooLong) || errors.Is(err, errNoRoom) {
			return upstream.Outcome{Result: upstream.Failed, Err: err}, false
		}
		return a.broken(err), false
	}
	// A body without a length ends with the connection, which is of no further use then.
	keep = (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0) && !resp.Close
	switch {
	case resp.StatusCode == http.StatusOK:
		return h.whole(), keep
	case (resp.StatusCode == 503 || resp.StatusCode == 504) && resp.Header.Get("X-Never-Ran") == "1":
		r.Result, r.Err = upstream.Rejected, errors.New(resp.Status)
	default:
		r.Err = errors.New(resp.Status)
	}
	h.drop(nil)
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
