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

// rig is a limiter with its own clock.
type rig struct {
	t   *testing.T
	d   *Controller
	now time.Time
}

func newRig(t *testing.T, places int) *rig {
	return &rig{t, New(Config{MaxConnections: places, Horizon: 750 * time.Millisecond}, began), began}
}

func (r *rig) wait(d time.Duration) { r.now = r.now.Add(d) }

func (r *rig) come() *Conn {
	r.t.Helper()
	c := &Conn{}
	if _, taken := r.d.Admit(c, r.now, always); !taken {
		r.t.Fatalf("turned away: %+v", r.d.Stats())
	}
	return c
}

// serve has a connection ask once and get its answer after a time; it reports whether that ended the connection.
func (r *rig) serve(c *Conn, after time.Duration) bool {
	r.d.RequestStarted(c, r.now)
	r.wait(after)
	if r.d.ResponseStarted(c, r.now) {
		r.d.Closing(c, r.now)
		r.d.Closed(c, r.now)
		return true
	}
	r.d.ResponseDone(c, r.now)
	return false
}

// ordinary are clients that ask at random, each ten times a second, on connections that they keep; where theirs was closed
// they come again. It counts what became of them.
type ordinary struct {
	r                       *rig
	rnd                     *rand.Rand
	conns                   []*Conn
	asked, anew, turnedAway int
}

// step is 2 ms of theirs.
func (o *ordinary) step() {
	o.r.wait(2 * time.Millisecond)
	for i, c := range o.conns {
		if o.rnd.Float64() >= 0.02 {
			continue
		}
		o.asked++
		if c == nil || c.state == notOpen {
			o.anew++
			c = &Conn{}
			if _, taken := o.r.d.Admit(c, o.r.now, always); !taken {
				o.turnedAway++
				continue
			}
			o.conns[i] = c
		}
		o.r.serve(c, 0)
	}
}

// A crowd of 500 a second, ten times the places in a second and a half, displaces itself, whether it asks once and stays or
// never asks: ordinary clients keep their connections.
func TestACrowdDisplacesItself(t *testing.T) {
	for name, asks := range map[string]bool{"ask once and stay": true, "never ask": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 60)
			o := &ordinary{r: r, rnd: rand.New(rand.NewPCG(3, 4)), conns: make([]*Conn, 20)}
			for range 1000 {
				o.step()
			}
			o.asked, o.anew = 0, 0
			for range 1500 {
				o.step()
				if c := (&Conn{}); true {
					if _, taken := r.d.Admit(c, r.now, always); taken && asks {
						r.serve(c, 0)
					}
				}
			}
			if o.asked < 500 || o.anew > o.asked/20 || o.turnedAway > 0 {
				t.Errorf("of %d requests %d came on new connections, %d of these were turned away; %+v", o.asked, o.anew, o.turnedAway, r.d.Stats())
			}
		})
	}
}

// Clients that change to a connection for each request are met with answers that end theirs, within a few dozen requests;
// when they change back, their connections are kept again.
func TestClientsThatChangeTheirWays(t *testing.T) {
	r := newRig(t, 200)
	o := &ordinary{r: r, rnd: rand.New(rand.NewPCG(5, 6)), conns: make([]*Conn, 20)}
	for range 1000 {
		o.step()
	}
	ended := 0
	for range 200 {
		if r.serve(r.come(), 20*time.Millisecond) {
			ended++
		}
	}
	if ended < 50 {
		t.Errorf("%d of 200 connections that ask once were ended", ended)
	}
	r.wait(60 * time.Second)
	for _, c := range r.d.IdleSince(r.now, time.Second) {
		r.d.Closed(c, r.now)
	}
	kept := 0
	for range 20 {
		c := r.come()
		for range 5 {
			if c.state == notOpen || r.serve(c, 20*time.Millisecond) {
				break
			}
			r.wait(80 * time.Millisecond)
		}
		if c.state == idle {
			kept++
		}
	}
	if kept < 19 {
		t.Errorf("%d of 20 connections are kept when their clients use them again", kept)
	}
}

// Nothing is ended where places are plentiful, whatever clients do.
func TestPlentyOfPlaces(t *testing.T) {
	r := newRig(t, 10000)
	for range 400 {
		if r.serve(r.come(), 20*time.Millisecond) {
			t.Fatal("ended")
		}
	}
}

// Who has a request open, or from whom something has come, never makes room; where all are like that, who comes is turned
// away.
func TestWhoNeverMakesRoom(t *testing.T) {
	r := newRig(t, 2)
	busyOne, heard := r.come(), r.come()
	r.d.RequestStarted(busyOne, r.now)
	r.wait(time.Hour)
	victim, taken := r.d.Admit(&Conn{}, r.now, func(c *Conn) bool { return c != heard })
	if victim != nil || taken {
		t.Errorf("victim %v, taken %v", victim, taken)
	}
	r.d.Closing(busyOne, r.now) // its last bytes are on their way: it is of no more use
	if victim, taken = r.d.Admit(&Conn{}, r.now, func(c *Conn) bool { return c != heard }); victim != busyOne || !taken {
		t.Errorf("victim %v, taken %v", victim, taken)
	}
}

// Who has just come is waited for, whoever comes then; who never asks for longer than that makes room.
func TestTheFirstCall(t *testing.T) {
	r := newRig(t, 1)
	first := r.come()
	r.wait(FirstRequestGrace - 1)
	if _, taken := r.d.Admit(&Conn{}, r.now, always); taken {
		t.Error("it was not waited for")
	}
	r.wait(1)
	second := &Conn{}
	if victim, taken := r.d.Admit(second, r.now, always); victim != first || !taken {
		t.Errorf("victim %v, taken %v", victim, taken)
	}
	r.d.RequestStarted(second, r.now) // for what has no answer of worth, such as its health
	r.d.ResponseDone(second, r.now)
	if victim, taken := r.d.Admit(&Conn{}, r.now, always); victim != second || !taken {
		t.Errorf("who has asked: victim %v, taken %v", victim, taken)
	}
}

// Of two of the same history the one that has been silent for longer goes first.
func TestTheLongestSilentGoesFirst(t *testing.T) {
	r := newRig(t, 2)
	first := r.come()
	r.wait(time.Second)
	r.come()
	r.wait(time.Second)
	if victim, _ := r.d.Admit(&Conn{}, r.now, always); victim != first {
		t.Error("not the first")
	}
}

// The rates are those of the clients, whatever their scale: connections that ask after a random time with a mean are
// expected to do so.
func TestRatesAreLearned(t *testing.T) {
	for _, mean := range []time.Duration{20 * time.Millisecond, time.Second} {
		var r rates
		rnd := rand.New(rand.NewPCG(1, 2))
		for range 200000 {
			silent := time.Duration(rnd.ExpFloat64() * float64(mean))
			r.observe(regular, 0, silent)
			r.ended(regular, silent)
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

// A part of a silence that is taken in twice over counts once: in pieces or at once, the sum is the same.
func TestSilencesInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cuts := rapid.SliceOfN(rapid.Int64Range(0, int64(100*time.Second)), 0, 20).Draw(t, "cuts")
		var whole, pieces rates
		at := time.Duration(0)
		for _, c := range cuts {
			if d := time.Duration(c); d > at {
				pieces.observe(once, at, d)
				at = d
			}
		}
		whole.observe(once, 0, at)
		sum := 0.0
		for c := range buckets {
			if d := whole.idleSeconds[once][c] - pieces.idleSeconds[once][c]; d > 1e-6 || d < -1e-6 {
				t.Errorf("cell %d: %v and %v", c, whole.idleSeconds[once][c], pieces.idleSeconds[once][c])
			}
			sum += pieces.idleSeconds[once][c]
		}
		if d := sum - at.Seconds(); d > 1e-6 || d < -1e-6 {
			t.Errorf("%v s of %v", sum, at)
		}
	})
}

// Whatever happens in whatever order, no place is leaked or counted twice: the limiter against a set of connections.
func TestPlacesAgainstASet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.IntRange(1, 6).Draw(t, "places")
		d := New(Config{MaxConnections: places, Horizon: time.Second}, began)
		now := began
		state := map[*Conn]string{} // of those that have a place
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
			"come": func(t *rapid.T) {
				c := &Conn{}
				loud := map[*Conn]bool{}
				for _, c := range all {
					loud[c] = rapid.Bool().Draw(t, "loud")
				}
				victim, taken := d.Admit(c, now, func(c *Conn) bool { return !loud[c] })
				if victim != nil && (state[victim] == "" || state[victim] == "busy" || state[victim] == "silent" && loud[victim]) {
					t.Fatalf("a victim that is %q, loud %v", state[victim], loud[victim])
				}
				if (len(state) < places) != (taken && victim == nil) || victim != nil && !taken {
					t.Fatalf("%d of %d places: victim %v, taken %v", len(state), places, victim, taken)
				}
				delete(state, victim)
				if taken {
					state[c] = "silent"
				}
				all = append(all, c)
			},
			"ask": on(func(c *Conn) {
				if d.RequestStarted(c, now); state[c] == "silent" {
					state[c] = "busy"
				}
			}),
			"answer": on(func(c *Conn) {
				d.ResponseStarted(c, now)
				if d.ResponseDone(c, now); state[c] == "busy" {
					state[c] = "silent"
				}
			}),
			"leave": on(func(c *Conn) {
				if d.Closing(c, now); state[c] != "" {
					state[c] = "leaving"
				}
			}),
			"gone": on(func(c *Conn) {
				d.Closed(c, now)
				delete(state, c)
			}),
			"": func(t *rapid.T) {
				counts := map[string]int{}
				for _, s := range state {
					counts[s]++
				}
				f, silent := d.Stats(), 0
				for _, n := range f.Idle {
					silent += n
				}
				if d.open != len(state) || f.Busy != counts["busy"] || f.Closing != counts["leaving"] || silent != counts["silent"] {
					t.Fatalf("%d held, %+v; it should be %v", d.open, f, counts)
				}
			},
		})
	})
}

// BenchmarkCome is what a connection costs at a limiter at which all places are taken, and one whose silences are followed.
//
//	go test ./internal/sidecar/admission -run - -bench Come
func BenchmarkCome(b *testing.B) {
	for _, places := range []int{224, 16384} {
		b.Run(fmt.Sprint(places, "-places"), func(b *testing.B) {
			d, now := New(Config{MaxConnections: places, Horizon: time.Second}, began), began
			for range places {
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
