package reuse

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var began = time.Unix(1_000_000, 0)

// rig is a stretch of uses, 100 a second, whose connections are used if they were idle for no longer than the bound.
type rig struct {
	Ages
	now time.Time
	rnd *rand.Rand
}

func newRig() *rig { return &rig{now: began, rnd: rand.New(rand.NewPCG(1, 2))} }

// uses plays n of them: connections are idle for exponential times with a mean, and break with a chance that follows from how
// long they were; it counts those that broke though they were used.
func (r *rig) uses(n int, mean time.Duration, chance func(time.Duration) float64) (old, broke int) {
	for range n {
		r.now = r.now.Add(10 * time.Millisecond)
		age := time.Duration(r.rnd.ExpFloat64() * float64(mean))
		if age > r.MaxIdle(r.now) {
			age = Fresh
			old++
		}
		b := r.rnd.Float64() < chance(age)
		r.Record(r.now, age, b)
		if b {
			broke++
		}
	}
	return old, broke
}

// Where servers close connections after a time, older ones are left alone soon, and hardly any younger ones.
func TestTheTimeOfServersIsLearned(t *testing.T) {
	for _, closed := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		for _, always := range []float64{0, 0.1} { // what breaks however young
			r := newRig()
			chance := func(age time.Duration) float64 {
				if age > closed {
					return always + 0.5
				}
				return always
			}
			r.uses(1000, 2*closed, chance)
			if most := r.MaxIdle(r.now); most > 2*closed || most < closed/4 {
				t.Errorf("closed after %v, %.1f break always: the bound is %v", closed, always, most)
			}
			_, broke := r.uses(1000, 2*closed, chance)
			if limit := int(1000*always) + 80; broke > limit {
				t.Errorf("closed after %v, %.1f break always: %d of 1000 broke", closed, always, broke)
			}
		}
	}
}

// Connections that break no more often for being idle are used as before, however often all break.
func TestWhatBreaksAnywayIsNoReason(t *testing.T) {
	for _, always := range []float64{0, 0.1, 0.3} {
		r := newRig()
		if old, _ := r.uses(5000, 200*time.Millisecond, func(time.Duration) float64 { return always }); old > 250 {
			t.Errorf("%.1f break: %d of 5000 were not used", always, old)
		}
	}
}

// A trouble that has gone is forgotten: connections are kept again within a few half-lives.
func TestABoundIsTriedAgain(t *testing.T) {
	r := newRig()
	if r.MaxIdle(r.now) != Unlimited {
		t.Error("a bound though nothing was seen")
	}
	r.uses(2000, 200*time.Millisecond, func(age time.Duration) float64 {
		if age > 50*time.Millisecond {
			return 0.6
		}
		return 0
	})
	if most := r.MaxIdle(r.now); most > 50*time.Millisecond {
		t.Fatalf("the bound is %v", most)
	}
	r.uses(100*60, 200*time.Millisecond, func(time.Duration) float64 { return 0 })
	if most := r.MaxIdle(r.now); most < time.Second {
		t.Errorf("a minute later the bound is %v", most)
	}
}

// Whatever is seen in whatever order: a bound is at least the first cell, and is nothing that has not been seen to break.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Ages
		now, oldest := began, time.Duration(0) // of those that broke
		for range rapid.IntRange(0, 200).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "passed")))
			age := time.Duration(rapid.Int64Range(-1, int64(time.Hour)).Draw(t, "age"))
			broke := rapid.Bool().Draw(t, "broke")
			if a.Record(now, age, broke); broke {
				oldest = max(oldest, age)
			}
			if most := a.MaxIdle(now); most < first || most != Unlimited && most > oldest {
				t.Fatalf("the bound is %v, the oldest that broke was idle for %v", most, oldest)
			}
		}
	})
}

// BenchmarkMost is what the bound costs each use of a connection.
//
//	go test ./internal/sidecar/upstream/reuse -run - -bench Most
func BenchmarkMost(b *testing.B) {
	r := newRig()
	r.uses(1000, 200*time.Millisecond, func(time.Duration) float64 { return 0.1 })
	for b.Loop() {
		r.MaxIdle(r.now)
	}
}
