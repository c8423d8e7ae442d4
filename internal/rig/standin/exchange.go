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

// exchange serves one connection, one request after another.
type exchange struct {
	l  *life
	c  net.Conn
	in *bufio.Reader

	starved bool // the request that it serves is turned away for a greedy caller's
}

// next is the first byte of a connection's next request, or the connection's end.
type next struct {
	at  time.Duration
	err error
}

// await waits for it in a goroutine of its own: while a request is worked on, it tells that the sidecar has gone.
func (x *exchange) await() <-chan next {
	c := make(chan next, 1)
	x.l.s.f.spawn(func() {
		_, err := x.in.Peek(1)
		c <- next{x.l.s.f.now(), err}
	})
	return c
}

func (x *exchange) serve() {
	x.in = bufio.NewReader(x.c)
	coming := x.await()
	for {
		idle := time.NewTimer(x.l.s.f.s.Limits.IdleTimeout)
		select {
		case n := <-coming:
			idle.Stop()
			if n.err != nil || !x.request(n.at, &coming) {
				return
			}
		case <-idle.C:
			return
		}
	}
}

// request takes in one request and answers it, and says whether the connection can go on.
func (x *exchange) request(first time.Duration, coming *<-chan next) bool {
	s := x.l.s
	req, err := http.ReadRequest(x.in)
	if err != nil {
		return false
	}
	at := audit.Attempt{
		Trace: req.Header.Get("X-Trace-Id"), Key: req.Header.Get("Idempotency-Key"), Class: req.Header.Get("X-Qos"),
		Operation: req.URL.Query().Get("op"), Server: x.l.name, FirstInstance: s.def.Name, Zone: s.def.Zone, Cell: s.def.Cell,
		FirstByte: first, LastByte: audit.Never, WorkStarted: audit.Never,
	}
	if req.URL.Path == "/ping" || req.URL.Path == "/_load" {
		*coming = x.await()
		return x.answer(&at, "200 OK", "", x.l.metrics(false)) == nil
	}
	if s.strikes(scenario.ResetRequest, at.Trace) {
		at.End = s.f.now()
		s.f.rec.Attempt(at)
		sock.Abort(x.c)
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		at.End = s.f.now()
		s.f.rec.Attempt(at)
		return false
	}
	at.LastByte = s.f.now()
	greedy := req.Header.Get(GreedyHeader) != ""
	if greedy {
		s.greed.note(at.LastByte)
	}
	x.starved = !greedy && s.greed.starves(at.LastByte, at.Trace)
	*coming = x.await()
	keep := x.run(&at, req.Header.Get("X-Expires-In"), coming)
	at.End = s.f.now()
	s.f.rec.Attempt(at)
	return keep && !req.Close
}

// run does what a request asks for, and answers it.
func (x *exchange) run(at *audit.Attempt, expires string, coming *<-chan next) (keep bool) {
	l, s := x.l, x.l.s
	i := s.f.s.Class(at.Class)
	switch {
	case at.Trace == "":
		return x.answer(at, "404 Not Found", "", "") == nil
	case i < 0:
		return x.answer(at, "400 Bad Request", "", "") == nil
	}
	class := &s.f.s.Classes[i]
	at.Work = class.Work.Interpolate(s.f.draw("work", at.Operation))
	if l.pressure != nil && l.pressed(at.Work) {
		return false
	}
	if x.starved || s.turnsAway() {
		return x.turnAway(at, "503 Full")
	}
	ready, ok := l.cores.enter()
	if !ok {
		return x.turnAway(at, "503 Full")
	}
	over := time.NewTimer(wait(expires, class.Deadline))
	defer over.Stop()
	select {
	case <-ready:
	case n := <-*coming: // the sidecar has gone, or sends out of turn: it is not waited for
		l.cores.leave(ready)
		at.Unwanted = true
		*coming = again(n)
		return false
	case <-over.C:
		l.cores.leave(ready)
		return x.turnAway(at, "504 Over")
	case <-l.ctx.Done():
		l.cores.leave(ready)
		return false
	}
	at.WorkStarted = s.f.now()
	at.KeyKnown = class.Effect == scenario.Keyed && s.f.keys.seen(class, s.def, at.Key)
	l.cores.work(l.ctx, at.Work)
	l.cores.leave(ready)
	l.cores.sleep(l.ctx, class.IO.Interpolate(s.f.draw("io", at.Operation)))
	select {
	case n := <-*coming:
		*coming = again(n)
		at.Unwanted = n.err != nil
	default:
	}
	if l.ctx.Err() != nil {
		return false
	}
	switch {
	case s.strikes(scenario.ResetResponse, at.Trace):
		sock.Abort(x.c)
		return false
	case s.strikes(scenario.MalformedAnswer, at.Trace):
		io.WriteString(x.c, "\x16\x03\x01 no answer at all\r\n\r\n")
		return false
	case s.strikes(scenario.ErrorAnswer, at.Trace):
		return x.answer(at, "500 Error", "", l.metrics(true)) == nil
	}
	return x.answer(at, "200 OK", Body(at.Trace, l.name), l.metrics(true)) == nil
}

// Body is what a server answers to a request that it served: no two are alike.
func Body(trace, server string) string {
	return fmt.Sprintf("{\"trace\":%q,\"server\":%q}\n", trace, server)
}

// again makes what was taken out of a channel readable once more.
func again(n next) <-chan next {
	c := make(chan next, 1)
	c <- n
	return c
}

// pressed books work that arrives at a cold server and reports whether it has fallen over.
func (l *life) pressed(work time.Duration) bool {
	l.mu.Lock()
	over := l.pressure.Add(l.s.f.now()-l.began, work) > 1
	l.mu.Unlock()
	if over {
		l.fall()
	}
	return over
}

// wait is how long a sidecar says that it will wait.
func wait(expires string, otherwise time.Duration) time.Duration {
	unit := time.Millisecond
	digits, isMicros := strings.CutSuffix(expires, "u")
	if isMicros {
		unit = time.Microsecond
	} else {
		digits = strings.TrimSuffix(expires, "m")
	}
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil {
		return otherwise
	}
	return time.Duration(n * float64(unit))
}

// turnAway answers that nothing ran.
func (x *exchange) turnAway(at *audit.Attempt, status string) bool {
	at.NeverRan = true
	return x.answer(at, status, "", x.l.metrics(false), "X-Never-Ran: 1") == nil
}

// answer writes an answer. The server's processes write nothing while it stalls.
func (x *exchange) answer(at *audit.Attempt, status, body, metrics string, headers ...string) error {
	x.l.cores.sleep(x.l.ctx, 0)
	if err := x.l.ctx.Err(); err != nil {
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
	_, err := io.WriteString(x.c, b.String())
	return err
}

// metrics is the load report of the moment, as an answer carries it.
func (l *life) metrics(served bool) string {
	if !l.s.f.s.Limits.Reports {
		return ""
	}
	var text []string
	for i, v := range l.cores.report(served) {
		text = append(text, fmt.Sprintf("%s=%.3f", scenario.ReportFields[i], v))
	}
	return strings.Join(text, ", ")
}
