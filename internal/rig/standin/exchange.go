package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/scenario"
)

// exchange serves one connection, one request after another, in one goroutine.
type exchange struct {
	process *process
	conn    net.Conn
	reader  *bufio.Reader

	starved bool // the present request is rejected because of a greedy caller's
}

// nextRequest is the first byte of a connection's next request, or the connection's end.
type nextRequest struct {
	arrivedAt time.Duration
	err       error
}

// await waits for the next request in a goroutine of its own: while a request is worked on, it shows whether the sidecar has closed
// the connection.
func (x *exchange) await() <-chan nextRequest {
	c := make(chan nextRequest, 1)
	x.process.server.fleet.spawn(func() {
		_, err := x.reader.Peek(1)
		c <- nextRequest{x.process.server.fleet.now(), err}
	})
	return c
}

func (x *exchange) serve() {
	x.reader = bufio.NewReader(x.conn)
	coming := x.await()
	for {
		idle := time.NewTimer(x.process.server.fleet.scenario.Limits.IdleTimeout)
		select {
		case n := <-coming:
			idle.Stop()
			if n.err != nil || !x.request(n.arrivedAt, &coming) {
				return
			}
		case <-idle.C:
			return
		}
	}
}

// request reads one request and answers it, and reports whether the connection can go on.
func (x *exchange) request(first time.Duration, coming *<-chan nextRequest) bool {
	s := x.process.server
	req, err := http.ReadRequest(x.reader)
	if err != nil {
		return false
	}
	at := audit.Attempt{
		Trace: req.Header.Get("X-Trace-Id"), Key: req.Header.Get("Idempotency-Key"), Class: req.Header.Get("X-Qos"),
		Operation: req.URL.Query().Get("op"), Server: x.process.name, FirstInstance: s.def.Name, Zone: s.def.Zone, Cell: s.def.Cell,
		FirstByte: first, LastByte: audit.Never, WorkStarted: audit.Never,
	}
	if req.URL.Path == "/ping" || req.URL.Path == "/_load" {
		*coming = x.await()
		return x.answer(&at, "200 OK", "", x.process.metrics(false)) == nil
	}
	if s.faultHits(scenario.ResetRequest, at.Trace) {
		at.End = s.fleet.now()
		s.fleet.recorder.Attempt(at)
		sock.Abort(x.conn)
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		at.End = s.fleet.now()
		s.fleet.recorder.Attempt(at)
		return false
	}
	at.LastByte = s.fleet.now()
	greedy := req.Header.Get(GreedyHeader) != ""
	if greedy {
		s.greed.record(at.LastByte)
	}
	x.starved = !greedy && s.greed.rejects(at.LastByte, at.Trace)
	*coming = x.await()
	keep := x.run(&at, req.Header.Get("X-Expires-In"), coming)
	at.End = s.fleet.now()
	s.fleet.recorder.Attempt(at)
	return keep && !req.Close
}

// run does the work of a request and answers it. It reports whether the connection can go on.
func (x *exchange) run(at *audit.Attempt, expires string, coming *<-chan nextRequest) (keep bool) {
	p, s := x.process, x.process.server
	i := s.fleet.scenario.Class(at.Class)
	switch {
	case at.Trace == "":
		return x.answer(at, "404 Not Found", "", "") == nil
	case i < 0:
		return x.answer(at, "400 Bad Request", "", "") == nil
	}
	class := &s.fleet.scenario.Classes[i]
	at.Work = class.Work.Interpolate(s.fleet.draw("work", at.Operation))
	if p.pressure != nil && p.addPressure(at.Work) {
		return false
	}
	if x.starved || s.full() {
		return x.reject(at, "503 Full")
	}
	ready, ok := p.cores.acquire()
	if !ok {
		return x.reject(at, "503 Full")
	}
	if ok, keep := x.waitForCore(at, ready, clientTimeout(expires, class.Deadline), coming); !ok {
		return keep
	}
	at.WorkStarted = s.fleet.now()
	at.KeyKnown = class.Effect == scenario.Keyed && s.fleet.keys.seen(class, s.def, at.Key)
	p.cores.work(p.ctx, at.Work)
	p.cores.release(ready)
	p.cores.sleep(p.ctx, class.IO.Interpolate(s.fleet.draw("io", at.Operation)))
	select {
	case n := <-*coming:
		*coming = unread(n)
		at.Unwanted = n.err != nil
	default:
	}
	if p.ctx.Err() != nil {
		return false
	}
	return x.answerOrFault(at)
}

// waitForCore waits for a core; ok is false where the request was given up, and keep says then whether the connection can go on.
func (x *exchange) waitForCore(
	at *audit.Attempt, ready chan struct{}, timeout time.Duration, coming *<-chan nextRequest,
) (ok, keep bool) {
	p := x.process
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	select {
	case <-ready:
		return true, true
	case n := <-*coming: // the sidecar has closed the connection, or sends a request before it has the answer
		p.cores.release(ready)
		at.Unwanted = true
		*coming = unread(n)
		return false, false
	case <-expired.C:
		p.cores.release(ready)
		return false, x.reject(at, "504 Over")
	case <-p.ctx.Done():
		p.cores.release(ready)
		return false, false
	}
}

// answerOrFault answers a request that ran, or does what a fault of the server says instead.
func (x *exchange) answerOrFault(at *audit.Attempt) (keep bool) {
	p, s := x.process, x.process.server
	switch {
	case s.faultHits(scenario.ResetResponse, at.Trace):
		sock.Abort(x.conn)
		return false
	case s.faultHits(scenario.MalformedAnswer, at.Trace):
		_, _ = io.WriteString(x.conn, "\x16\x03\x01 no answer at all\r\n\r\n")
		return false
	case s.faultHits(scenario.ErrorAnswer, at.Trace):
		return x.answer(at, "500 Error", "", p.metrics(true)) == nil
	}
	return x.answer(at, "200 OK", Body(at.Trace, p.name), p.metrics(true)) == nil
}

// Body is what a server answers to a request that it served: no two are alike.
func Body(trace, server string) string {
	return fmt.Sprintf("{\"trace\":%q,\"server\":%q}\n", trace, server)
}

// unread returns a channel with what was received from another, so that it can be received again.
func unread(n nextRequest) <-chan nextRequest {
	c := make(chan nextRequest, 1)
	c <- n
	return c
}

// addPressure counts work that arrives at a server in its slow start, and reports whether it has collapsed.
func (p *process) addPressure(work time.Duration) bool {
	p.mu.Lock()
	over := p.pressure.Add(p.server.fleet.now()-p.began, work) > 1
	p.mu.Unlock()
	if over {
		p.collapse()
	}
	return over
}

// clientTimeout is how long a sidecar will wait, by its header.
func clientTimeout(expires string, byDefault time.Duration) time.Duration {
	unit := time.Millisecond
	digits, isMicros := strings.CutSuffix(expires, "u")
	if isMicros {
		unit = time.Microsecond
	} else {
		digits = strings.TrimSuffix(expires, "m")
	}
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil {
		return byDefault
	}
	return time.Duration(n * float64(unit))
}

// reject answers with the header that nothing ran.
func (x *exchange) reject(at *audit.Attempt, status string) bool {
	at.NeverRan = true
	return x.answer(at, status, "", x.process.metrics(false), "X-Never-Ran: 1") == nil
}

// answer writes an answer. The server's processes write nothing while it stalls.
func (x *exchange) answer(at *audit.Attempt, status, body, metrics string, headers ...string) error {
	x.process.cores.sleep(x.process.ctx, 0)
	if err := x.process.ctx.Err(); err != nil {
		return err
	}
	at.Status, _ = strconv.Atoi(status[:3])
	at.Body = audit.BodySum([]byte(body))
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\nContent-Length: %d\r\n", status, len(body))
	if metrics != "" {
		fmt.Fprintf(&b, "Endpoint-Load-Metrics: TEXT %s\r\n", metrics)
	}
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	b.WriteString("\r\n" + body)
	_, err := io.WriteString(x.conn, b.String())
	return err
}

// metrics is the present load report, as the header of an answer has it.
func (p *process) metrics(served bool) string {
	if !p.server.fleet.scenario.Limits.Reports {
		return ""
	}
	var text []string
	for i, v := range p.cores.report(served) {
		text = append(text, fmt.Sprintf("%s=%.3f", scenario.ReportFields[i], v))
	}
	return strings.Join(text, ", ")
}
