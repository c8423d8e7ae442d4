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

// harness is a controller with its own clock.
type harness struct {
	t          *testing.T
	controller *Controller
	now        time.Time
}

func newHarness(t *testing.T, maximum int) *harness {
	return &harness{t, New(Config{MaxConnections: maximum, Horizon: 750 * time.Millisecond}, began), began}
}

func (r *harness) wait(d time.Duration) { r.now = r.now.Add(d) }

// connect has a client connect, which must be admitted.
func (r *harness) connect() *Conn {
	r.t.Helper()
	c := &Conn{}
	if _, admitted := r.controller.Admit(c, r.now, always); !admitted {
		r.t.Fatalf("rejected: %+v", r.controller.Stats())
	}
	return c
}

// serve has a connection send one request and get the response after a time; it reports whether that closed the connection.
func (r *harness) serve(c *Conn, after time.Duration) bool {
	r.controller.RequestStarted(c, r.now)
	r.wait(after)
	if r.controller.ResponseStarted(c, r.now) {
		r.controller.Closing(c, r.now)
		r.controller.Closed(c, r.now)
		return true
	}
	r.controller.ResponseDone(c, r.now)
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

// Of 500 new clients a second, in a second and a half ten times as many as may connect, each evicts another, whether they send one request
// and stay connected or send none: ordinary clients keep their connections.
func TestACrowdEvictsItself(t *testing.T) {
	for name, sendsRequest := range map[string]bool{"one request": true, "no request": false} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 60)
			o := &ordinaryClients{harness: r, random: rand.New(rand.NewPCG(3, 4)), conns: make([]*Conn, 20)}
			for range 1000 {
				o.step()
			}
			o.requests, o.reconnected = 0, 0
			for range 1500 {
				o.step()
				if c := (&Conn{}); true {
					if _, admitted := r.controller.Admit(c, r.now, always); admitted && sendsRequest {
						r.serve(c, 0)
					}
				}
			}
			if o.requests < 500 || o.reconnected > o.requests/20 || o.rejected > 0 {
				t.Errorf("of %d requests %d came on new connections, %d of these were rejected; %+v", o.requests, o.reconnected, o.rejected, r.controller.Stats())
			}
		})
	}
}

// When clients change to a connection for each request, responses close their connections within a few dozen requests; when they change
// back, connections stay open again.
func TestClientsThatChange(t *testing.T) {
	r := newHarness(t, 200)
	o := &ordinaryClients{harness: r, random: rand.New(rand.NewPCG(5, 6)), conns: make([]*Conn, 20)}
	for range 1000 {
		o.step()
	}
	ended := 0
	for range 200 {
		if r.serve(r.connect(), 20*time.Millisecond) {
			ended++
		}
	}
	if ended < 50 {
		t.Errorf("%d of 200 connections with one request were closed", ended)
	}
	r.wait(60 * time.Second)
	for _, c := range r.controller.IdleSince(r.now, time.Second) {
		r.controller.Closed(c, r.now)
	}
	open := 0
	for range 20 {
		c := r.connect()
		for range 5 {
			if c.state == notOpen || r.serve(c, 20*time.Millisecond) {
				break
			}
			r.wait(80 * time.Millisecond)
		}
		if c.state == idle {
			open++
		}
	}
	if open < 19 {
		t.Errorf("%d of 20 connections stay open when their clients use them again", open)
	}
}

// Nothing is closed far below the maximum, whatever clients do.
func TestFarBelowTheMaximum(t *testing.T) {
	r := newHarness(t, 10000)
	for range 400 {
		if r.serve(r.connect(), 20*time.Millisecond) {
			t.Fatal("closed")
		}
	}
}

// A connection with a request in progress, or with unread bytes, is never evicted; where all are like that, a new one is rejected.
func TestWhatIsNeverEvicted(t *testing.T) {
	r := newHarness(t, 2)
	busyConn, unread := r.connect(), r.connect()
	r.controller.RequestStarted(busyConn, r.now)
	r.wait(time.Hour)
	evicted, admitted := r.controller.Admit(&Conn{}, r.now, func(c *Conn) bool { return c != unread })
	if evicted != nil || admitted {
		t.Errorf("evicted %v, admitted %v", evicted, admitted)
	}
	r.controller.Closing(busyConn, r.now) // it had its last response, and is of no more use
	if evicted, admitted = r.controller.Admit(&Conn{}, r.now, func(c *Conn) bool { return c != unread }); evicted != busyConn || !admitted {
		t.Errorf("evicted %v, admitted %v", evicted, admitted)
	}
}

// A new connection is not evicted within FirstRequestGrace; one that has sent no request after that is.
func TestFirstRequestGrace(t *testing.T) {
	r := newHarness(t, 1)
	first := r.connect()
	r.wait(FirstRequestGrace - 1)
	if _, admitted := r.controller.Admit(&Conn{}, r.now, always); admitted {
		t.Error("evicted within the grace")
	}
	r.wait(1)
	second := &Conn{}
	if evicted, admitted := r.controller.Admit(second, r.now, always); evicted != first || !admitted {
		t.Errorf("evicted %v, admitted %v", evicted, admitted)
	}
	r.controller.RequestStarted(second, r.now) // one whose response does not count, such as a health check
	r.controller.ResponseDone(second, r.now)
	if evicted, admitted := r.controller.Admit(&Conn{}, r.now, always); evicted != second || !admitted {
		t.Errorf("after a request: evicted %v, admitted %v", evicted, admitted)
	}
}

// Of two with the same history the one that has been idle for longer is evicted first.
func TestTheLongestIdleIsEvictedFirst(t *testing.T) {
	r := newHarness(t, 2)
	first := r.connect()
	r.wait(time.Second)
	r.connect()
	r.wait(time.Second)
	if evicted, _ := r.controller.Admit(&Conn{}, r.now, always); evicted != first {
		t.Error("not the first")
	}
}

// The rates are those of the clients, whatever their scale: connections that send a request after a random time with a mean are expected
// to do so.
func TestRatesAreLearned(t *testing.T) {
	for _, mean := range []time.Duration{20 * time.Millisecond, time.Second} {
		var r rates
		rnd := rand.New(rand.NewPCG(1, 2))
		for range 200000 {
			idleTime := time.Duration(rnd.ExpFloat64() * float64(mean))
			r.observe(regular, 0, idleTime)
			r.ended(regular, idleTime)
		}
		for _, at := range []time.Duration{0, mean / 3, mean} {
			if got := r.expected(regular, at) * mean.Seconds(); got < 0.85 || got > 1.15 {
				t.Errorf("after %v: %.2f of the rate", at, got)
			}
		}
		if got := r.probability(regular, 0, mean); got < 0.6 || got > 0.66 { // 1 - 1/e
			t.Errorf("mean %v: %.2f within it", mean, got)
		}
	}
}

// An idle time that is observed in parts counts as if it were observed at once.
func TestIdleTimesInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cuts := rapid.SliceOfN(rapid.Int64Range(0, int64(100*time.Second)), 0, 20).Draw(t, "cuts")
		var atOnce, inParts rates
		at := time.Duration(0)
		for _, c := range cuts {
			if d := time.Duration(c); d > at {
				inParts.observe(once, at, d)
				at = d
			}
		}
		atOnce.observe(once, 0, at)
		sum := 0.0
		for c := range buckets {
			if d := atOnce.idleSeconds[once][c] - inParts.idleSeconds[once][c]; d > 1e-6 || d < -1e-6 {
				t.Errorf("bucket %d: %v and %v", c, atOnce.idleSeconds[once][c], inParts.idleSeconds[once][c])
			}
			sum += inParts.idleSeconds[once][c]
		}
		if d := sum - at.Seconds(); d > 1e-6 || d < -1e-6 {
			t.Errorf("%v s of %v", sum, at)
		}
	})
}

// In any order of events no connection is lost or counted twice: the controller is compared with a set of connections.
func TestConnectionsAgainstASet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maximum := rapid.IntRange(1, 6).Draw(t, "maximum")
		d := New(Config{MaxConnections: maximum, Horizon: time.Second}, began)
		now := began
		state := map[*Conn]string{} // of those that are open
		var all []*Conn
		on := func(event func(*Conn)) func(*rapid.T) {
			return func(t *rapid.T) {
				if len(all) > 0 {
					event(all[rapid.IntRange(0, len(all)-1).Draw(t, "which")])
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"connect": func(t *rapid.T) {
				c := &Conn{}
				unread := map[*Conn]bool{}
				for _, c := range all {
					unread[c] = rapid.Bool().Draw(t, "unread")
				}
				evicted, admitted := d.Admit(c, now, func(c *Conn) bool { return !unread[c] })
				if evicted != nil && (state[evicted] == "" || state[evicted] == "busy" || state[evicted] == "idle" && unread[evicted]) {
					t.Fatalf("evicted, though it is %q, unread %v", state[evicted], unread[evicted])
				}
				if (len(state) < maximum) != (admitted && evicted == nil) || evicted != nil && !admitted {
					t.Fatalf("%d of %d open: evicted %v, admitted %v", len(state), maximum, evicted, admitted)
				}
				delete(state, evicted)
				if admitted {
					state[c] = "idle"
				}
				all = append(all, c)
			},
			"request": on(func(c *Conn) {
				if d.RequestStarted(c, now); state[c] == "idle" {
					state[c] = "busy"
				}
			}),
			"respond": on(func(c *Conn) {
				d.ResponseStarted(c, now)
				if d.ResponseDone(c, now); state[c] == "busy" {
					state[c] = "idle"
				}
			}),
			"closing": on(func(c *Conn) {
				if d.Closing(c, now); state[c] != "" {
					state[c] = "closing"
				}
			}),
			"closed": on(func(c *Conn) {
				d.Closed(c, now)
				delete(state, c)
			}),
			"": func(t *rapid.T) {
				counts := map[string]int{}
				for _, s := range state {
					counts[s]++
				}
				stats, idleCount := d.Stats(), 0
				for _, n := range stats.Idle {
					idleCount += n
				}
				if d.open != len(state) || stats.Busy != counts["busy"] || stats.Closing != counts["closing"] || idleCount != counts["idle"] {
					t.Fatalf("%d open, %+v; want %v", d.open, stats, counts)
				}
			},
		})
	})
}

// BenchmarkAdmit measures what a new connection and its one request cost while the maximum is open.
//
//	go test ./internal/sidecar/admission -run - -bench Admit
func BenchmarkAdmit(b *testing.B) {
	for _, maximum := range []int{224, 16384} {
		b.Run(fmt.Sprint(maximum, "-connections"), func(b *testing.B) {
			d, now := New(Config{MaxConnections: maximum, Horizon: time.Second}, began), began
			for range maximum {
				d.Admit(&Conn{}, now, always)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				c := &Conn{}
				d.Admit(c, now, always)
				d.RequestStarted(c, now)
				d.ResponseStarted(c, now)
				d.ResponseDone(c, now)
			}
		})
	}
}
