package reuse

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Unix(1_000_000, 0)

// traffic plays uses of connections, 100 a second. A connection is used if it was idle for no longer than the limit.
type traffic struct {
	Ages
	now    time.Time
	random *rand.Rand
}

func newTraffic() *traffic {
	return &traffic{now: startTime, random: rand.New(rand.NewPCG(1, 2))}
}

// play plays n uses: connections were idle for exponential times with a mean, and break with a probability that depends on their idle
// time. It returns how many were too old to be used, and how many broke.
func (r *traffic) play(n int, mean time.Duration, probability func(time.Duration) float64) (tooOld, broken int) {
	for range n {
		r.now = r.now.Add(10 * time.Millisecond)
		age := time.Duration(r.random.ExpFloat64() * float64(mean))
		if age > r.MaxIdle(r.now) {
			age = Fresh
			tooOld++
		}
		broke := r.random.Float64() < probability(age)
		r.Record(r.now, age, broke)
		if broke {
			broken++
		}
	}
	return tooOld, broken
}

// If servers close connections after some time, older ones are soon no longer used, and nearly all younger ones are.
func TestTheTimeOfServersIsLearned(t *testing.T) {
	for _, closed := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		for _, always := range []float64{0, 0.1} { // the probability to break at any age
			r := newTraffic()
			probability := func(age time.Duration) float64 {
				if age > closed {
					return always + 0.5
				}
				return always
			}
			r.play(1000, 2*closed, probability)
			if limit := r.MaxIdle(r.now); limit > 2*closed || limit < closed/4 {
				t.Errorf("closed after %v, %.1f break always: the limit is %v", closed, always, limit)
			}
			_, broken := r.play(1000, 2*closed, probability)
			if limit := int(1000*always) + 80; broken > limit {
				t.Errorf("closed after %v, %.1f break always: %d of 1000 broke", closed, always, broken)
			}
		}
	}
}

// Connections that do not break more often for being idle are used as before, however often all break.
func TestWhatBreaksAnywayIsNoReason(t *testing.T) {
	for _, always := range []float64{0, 0.1, 0.3} {
		r := newTraffic()
		if tooOld, _ := r.play(5000, 200*time.Millisecond, func(time.Duration) float64 { return always }); tooOld > 250 {
			t.Errorf("%.1f break: %d of 5000 were not used", always, tooOld)
		}
	}
}

// A fault that has gone is forgotten: idle connections are used again within a few half-lives.
func TestALimitIsTriedAgain(t *testing.T) {
	r := newTraffic()
	if r.MaxIdle(r.now) != Unlimited {
		t.Error("a limit although nothing was recorded")
	}
	r.play(2000, 200*time.Millisecond, func(age time.Duration) float64 {
		if age > 50*time.Millisecond {
			return 0.6
		}
		return 0
	})
	if limit := r.MaxIdle(r.now); limit > 50*time.Millisecond {
		t.Fatalf("the limit is %v", limit)
	}
	r.play(100*60, 200*time.Millisecond, func(time.Duration) float64 { return 0 })
	if limit := r.MaxIdle(r.now); limit < time.Second {
		t.Errorf("a minute later the limit is %v", limit)
	}
}

// Whatever is recorded in whatever order: a limit is at least the first cell, and at most the oldest connection that broke.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Ages
		now, oldest := startTime, time.Duration(0) // of those that broke
		for range rapid.IntRange(0, 200).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "passed")))
			age := time.Duration(rapid.Int64Range(-1, int64(time.Hour)).Draw(t, "age"))
			broke := rapid.Bool().Draw(t, "broke")
			if a.Record(now, age, broke); broke {
				oldest = max(oldest, age)
			}
			if limit := a.MaxIdle(now); limit < firstCell || limit != Unlimited && limit > oldest {
				t.Fatalf("the limit is %v, the oldest that broke was idle for %v", limit, oldest)
			}
		}
	})
}

// BenchmarkMaxIdle measures what the limit costs each use of a connection.
//
//	go test ./internal/sidecar/upstream/reuse -run - -bench MaxIdle
func BenchmarkMaxIdle(b *testing.B) {
	r := newTraffic()
	r.play(1000, 200*time.Millisecond, func(time.Duration) float64 { return 0.1 })
	for b.Loop() {
		r.MaxIdle(r.now)
	}
}
