package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var began = time.Unix(1_000_000, 0)

func always(*Conn) bool { return true }

// harness is a controller with a clock that the test advances.
type harness struct {
	t          *testing.T
	controller *Controller
	now        time.Time
}

func newHarness(t *testing.T, maximum int) *harness {
	return &harness{t, New(Config{MaxConnections: maximum, Horizon: 750 * time.Millisecond}, began), began}
}

func (h *harness) wait(d time.Duration) { h.now = h.now.Add(d) }

// connect opens a connection, which must be admitted.
func (h *harness) connect() *Conn {
	h.t.Helper()
	c := &Conn{}
	if _, admitted := h.controller.Admit(c, h.now, always); !admitted {
		h.t.Fatalf("rejected: %+v", h.controller.Stats())
	}
	return c
}

// serve plays one request on a connection, and its response after a time; it reports whether the response closed the connection.
func (h *harness) serve(c *Conn, after time.Duration) bool {
	h.controller.RequestStarted(c, h.now)
	h.wait(after)
	if h.controller.ResponseStarted(c, h.now) {
		h.controller.Closing(c, h.now)
		h.controller.Closed(c, h.now)
		return true
	}
	h.controller.ResponseDone(c, h.now)
	return false
}

// ordinaryClients send requests at random, each ten times a second, on connections that they keep open. A client whose connection was
// closed connects again.
type ordinaryClients struct {
	harness                         *harness
	random                          *rand.Rand
	conns                           []*Conn
	requests, reconnected, rejected int
}

// step plays 2 ms.
func (o *ordinaryClients) step() {
	o.harness.wait(2 * time.Millisecond)
	for i, c := range o.conns {
		if o.random.Float64() >= 0.02 {
			continue
		}
		o.requests++
		if c == nil || c.state == notOpen {
			o.reconnected++
			c = &Conn{}
			if _, admitted := o.harness.controller.Admit(c, o.harness.now, always); !admitted {
				o.rejected++
				continue
			}
			o.conns[i] = c
		}
		o.harness.serve(c, 0)
	}
}

// 500 new clients a second connect for three seconds, far more than may be connected, and either send one request and stay
// connected or send none. They must evict each other, while ordinary clients keep their connections.
func TestNewClientsEvictEachOther(t *testing.T) {
	for name, sendsRequest := range map[string]bool{"one request": true, "no request": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 60)
			o := &ordinaryClients{harness: h, random: rand.New(rand.NewPCG(3, 4)), conns: make([]*Conn, 20)}
			for range 1000 {
				o.step()
			}
			o.requests, o.reconnected = 0, 0
			for range 1500 {
				o.step()
				if c := (&Conn{}); true {
					if _, admitted := h.controller.Admit(c, h.now, always); admitted && sendsRequest {
						h.serve(c, 0)
					}
				}
			}
			if o.requests < 500 || o.reconnected > o.requests/20 || o.rejected > 0 {
				t.Errorf("of %d requests %d came on new connections, %d of these were rejected; %+v", o.requests, o.reconnected, o.rejected, h.controller.Stats())
			}
		})
	}
}

// When clients change to one connection per request, responses close their connections within a few dozen requests. When they
// change back, connections stay open again.
func TestClientBehaviourChanges(t *testing.T) {
	h := newHarness(t, 200)
	o := &ordinaryClients{harness: h, random: rand.New(rand.NewPCG(5, 6)), conns: make([]*Conn, 20)}
	for range 1000 {
		o.step()
	}
	ended := 0
	for range 200 {
		if h.serve(h.connect(), 20*time.Millisecond) {
			ended++
		}
	}
	if ended < 50 {
		t.Errorf("%d of 200 connections with one request were closed", ended)
	}
	h.wait(60 * time.Second)
	for _, c := range h.controller.IdleFor(h.now, time.Second) {
		h.controller.Closed(c, h.now)
	}
	open := 0
	for range 20 {
		c := h.connect()
		for range 5 {
			if c.state == notOpen || h.serve(c, 20*time.Millisecond) {
				break
			}
			h.wait(80 * time.Millisecond)
		}
		if c.state == idle {
			open++
		}
	}
	if open < 19 {
		t.Errorf("%d of 20 connections stay open when their clients use them again", open)
	}
}

// Responses close no connection far below the maximum, whatever clients do.
func TestNothingIsClosedFarBelowTheMaximum(t *testing.T) {
	h := newHarness(t, 10000)
	for range 400 {
		if h.serve(h.connect(), 20*time.Millisecond) {
			t.Fatal("closed")
		}
	}
}

// A connection with a request in progress, or with unread bytes, is never evicted. If there is no other, a new connection is
// rejected.
func TestBusyAndUnreadAreNeverEvicted(t *testing.T) {
	h := newHarness(t, 2)
	busyConn, unread := h.connect(), h.connect()
	h.controller.RequestStarted(busyConn, h.now)
	h.wait(time.Hour)
	evicted, admitted := h.controller.Admit(&Conn{}, h.now, func(c *Conn) bool { return c != unread })
	if evicted != nil || admitted {
		t.Errorf("evicted %v, admitted %v", evicted, admitted)
	}
	h.controller.Closing(busyConn, h.now) // its last response was written
	if evicted, admitted = h.controller.Admit(&Conn{}, h.now, func(c *Conn) bool { return c != unread }); evicted != busyConn || !admitted {
		t.Errorf("evicted %v, admitted %v", evicted, admitted)
	}
}

// A new connection is not evicted within FirstRequestGrace; afterwards one without a request is.
func TestFirstRequestGrace(t *testing.T) {
	h := newHarness(t, 1)
	first := h.connect()
	h.wait(FirstRequestGrace - 1)
	if _, admitted := h.controller.Admit(&Conn{}, h.now, always); admitted {
		t.Error("evicted within the grace")
	}
	h.wait(1)
	second := &Conn{}
	if evicted, admitted := h.controller.Admit(second, h.now, always); evicted != first || !admitted {
		t.Errorf("evicted %v, admitted %v", evicted, admitted)
	}
	h.controller.RequestStarted(second, h.now) // a request whose response is not counted, such as a health check
	h.controller.ResponseDone(second, h.now)
	if evicted, admitted := h.controller.Admit(&Conn{}, h.now, always); evicted != second || !admitted {
		t.Errorf("after a request: evicted %v, admitted %v", evicted, admitted)
	}
}

// Of two connections with the same history the one that has been idle for longer is evicted first.
func TestLongestIdleIsEvictedFirst(t *testing.T) {
	h := newHarness(t, 2)
	first := h.connect()
	h.wait(time.Second)
	h.connect()
	h.wait(time.Second)
	if evicted, _ := h.controller.Admit(&Conn{}, h.now, always); evicted != first {
		t.Error("not the first")
	}
}

// Rates are learned at any time scale: for connections that send requests after exponentially distributed idle times, the
// expected rate is that of the distribution.
func TestRatesAreLearned(t *testing.T) {
	for _, mean := range []time.Duration{20 * time.Millisecond, time.Second} {
		var r rates
		rnd := rand.New(rand.NewPCG(1, 2))
		for range 200000 {
			idleTime := time.Duration(rnd.ExpFloat64() * float64(mean))
			r.addIdleTime(regular, 0, idleTime)
			r.recordResponse(regular, idleTime)
		}
		for _, at := range []time.Duration{0, mean / 3, mean} {
			if got := r.rateAt(regular, at) * mean.Seconds(); got < 0.85 || got > 1.15 {
				t.Errorf("after %v: %.2f of the rate", at, got)
			}
		}
		if got := r.probability(regular, 0, mean); got < 0.6 || got > 0.66 { // 1 - 1/e
			t.Errorf("mean %v: probability %.2f within the mean, want 0.63", mean, got)
		}
	}
}

// An idle time that is observed in parts counts as if it were observed at once.
func TestIdleTimeObservedInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cuts := rapid.SliceOfN(rapid.Int64Range(0, int64(100*time.Second)), 0, 20).Draw(t, "cuts")
		var atOnce, inParts rates
		at := time.Duration(0)
		for _, c := range cuts {
			if d := time.Duration(c); d > at {
				inParts.addIdleTime(usedOnce, at, d)
				at = d
			}
		}
		atOnce.addIdleTime(usedOnce, 0, at)
		sum := 0.0
		for c := range bucketCount {
			if d := atOnce.idleSeconds[usedOnce][c] - inParts.idleSeconds[usedOnce][c]; d > 1e-6 || d < -1e-6 {
				t.Errorf("bucket %d: %v and %v", c, atOnce.idleSeconds[usedOnce][c], inParts.idleSeconds[usedOnce][c])
			}
			sum += inParts.idleSeconds[usedOnce][c]
		}
		if d := sum - at.Seconds(); d > 1e-6 || d < -1e-6 {
			t.Errorf("%v s of %v", sum, at)
		}
	})
}

// modelState is the state of an open connection in the model. A connection without a state is closed, or was never admitted.
type modelState string

const (
	modelIdle    modelState = "idle"
	modelBusy    modelState = "busy"
	modelClosing modelState = "closing"
)

// admissionModel is a controller with a model of its state: the set of open connections.
type admissionModel struct {
	controller *Controller
	maximum    int
	now        time.Time
	open       map[*Conn]modelState
	all        []*Conn // open, closed and rejected ones
}

// wait lets up to 5 s pass.
func (m *admissionModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
}

// connect offers a new connection. Any of the others may have an unread request, so that it must not be evicted.
func (m *admissionModel) connect(t *rapid.T) {
	unread := map[*Conn]bool{}
	for _, other := range m.all {
		unread[other] = rapid.Bool().Draw(t, "unread")
	}
	evictable := func(other *Conn) bool { return !unread[other] }
	conn := &Conn{}
	evicted, admitted := m.controller.Admit(conn, m.now, evictable)
	m.checkEvicted(t, evicted, unread[evicted])
	full := len(m.open) >= m.maximum
	if full == (admitted && evicted == nil) || evicted != nil && !admitted {
		t.Fatalf("%d of %d open: evicted %v, admitted %v", len(m.open), m.maximum, evicted, admitted)
	}
	delete(m.open, evicted)
	if admitted {
		m.open[conn] = modelIdle
	}
	m.all = append(m.all, conn)
}

// checkEvicted fails if the evicted connection is not open, has a request in progress, or is idle and has an unread request. It
// accepts nil.
func (m *admissionModel) checkEvicted(t *rapid.T, evicted *Conn, unread bool) {
	if evicted == nil {
		return
	}
	state := m.open[evicted]
	if state == "" || state == modelBusy || state == modelIdle && unread {
		t.Fatalf("evicted, though it is %q, unread %v", state, unread)
	}
}

func (m *admissionModel) request(conn *Conn) {
	m.controller.RequestStarted(conn, m.now)
	if m.open[conn] == modelIdle {
		m.open[conn] = modelBusy
	}
}

func (m *admissionModel) respond(conn *Conn) {
	m.controller.ResponseStarted(conn, m.now)
	m.controller.ResponseDone(conn, m.now)
	if m.open[conn] == modelBusy {
		m.open[conn] = modelIdle
	}
}

func (m *admissionModel) closing(conn *Conn) {
	m.controller.Closing(conn, m.now)
	if m.open[conn] != "" {
		m.open[conn] = modelClosing
	}
}

func (m *admissionModel) closed(conn *Conn) {
	m.controller.Closed(conn, m.now)
	delete(m.open, conn)
}

// onAny returns an action that applies an event to a connection drawn from all of them, whatever its state.
func (m *admissionModel) onAny(event func(*Conn)) func(*rapid.T) {
	return func(t *rapid.T) {
		if len(m.all) > 0 {
			event(m.all[rapid.IntRange(0, len(m.all)-1).Draw(t, "which")])
		}
	}
}

// check compares the controller's counts with the model.
func (m *admissionModel) check(t *rapid.T) {
	want := map[modelState]int{}
	for _, state := range m.open {
		want[state]++
	}
	stats, idle := m.controller.Stats(), 0
	for _, n := range stats.Idle {
		idle += n
	}
	if m.controller.open != len(m.open) || stats.Busy != want[modelBusy] || stats.Closing != want[modelClosing] || idle != want[modelIdle] {
		t.Fatalf("%d open, %+v; want %v", m.controller.open, stats, want)
	}
}

// For any sequence of events the controller's counts match a model that keeps a set of connections: none is lost or counted
// twice.
func TestControllerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maximum := rapid.IntRange(1, 6).Draw(t, "maximum")
		m := &admissionModel{
			controller: New(Config{MaxConnections: maximum, Horizon: time.Second}, began),
			maximum:    maximum,
			now:        began,
			open:       map[*Conn]modelState{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait":    m.wait,
			"connect": m.connect,
			"request": m.onAny(m.request),
			"respond": m.onAny(m.respond),
			"closing": m.onAny(m.closing),
			"closed":  m.onAny(m.closed),
			"":        m.check, // after each event
		})
	})
}

// BenchmarkAdmit measures the cost of a new connection with one request while the maximum is open.
//
//	go test ./internal/sidecar/admission -run - -bench Admit
func BenchmarkAdmit(b *testing.B) {
	for _, maximum := range []int{224, 16384} {
		b.Run(fmt.Sprint(maximum, "-connections"), func(b *testing.B) {
			controller, now := New(Config{MaxConnections: maximum, Horizon: time.Second}, began), began
			for range maximum {
				controller.Admit(&Conn{}, now, always)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				c := &Conn{}
				controller.Admit(c, now, always)
				controller.RequestStarted(c, now)
				controller.ResponseStarted(c, now)
				controller.ResponseDone(c, now)
			}
		})
	}
}
