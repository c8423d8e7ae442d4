package reuse

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Unix(1_000_000, 0)

// traffic simulates the use of connections, 100 times a second. A connection is used if it was idle for no longer than the limit.
type traffic struct {
	Estimator
	now    time.Time
	random *rand.Rand
}

func newTraffic() *traffic {
	return &traffic{now: startTime, random: rand.New(rand.NewPCG(1, 2))}
}

// play simulates n uses. Idle times are exponentially distributed, and connections break with a probability that depends on the
// idle time. It returns how many connections had been idle for too long to be used, and how many broke.
func (tr *traffic) play(n int, mean time.Duration, probability func(time.Duration) float64) (tooLong, broken int) {
	for range n {
		tr.now = tr.now.Add(10 * time.Millisecond)
		idleTime := time.Duration(tr.random.ExpFloat64() * float64(mean))
		if idleTime > tr.MaxIdle(tr.now) {
			idleTime = Fresh
			tooLong++
		}
		broke := tr.random.Float64() < probability(idleTime)
		tr.Record(tr.now, idleTime, broke)
		if broke {
			broken++
		}
	}
	return tooLong, broken
}

// If servers close connections after some idle time, connections that were idle for longer are soon no longer used, while nearly
// all others are.
func TestIdleLimitIsLearned(t *testing.T) {
	for _, closed := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		for _, always := range []float64{0, 0.1} { // the probability to break after any idle time
			tr := newTraffic()
			probability := func(idleTime time.Duration) float64 {
				if idleTime > closed {
					return always + 0.5
				}
				return always
			}
			tr.play(1000, 2*closed, probability)
			if limit := tr.MaxIdle(tr.now); limit > 2*closed || limit < closed/4 {
				t.Errorf("closed after %v, %.1f break at any idle time: the limit is %v", closed, always, limit)
			}
			_, broken := tr.play(1000, 2*closed, probability)
			if limit := int(1000*always) + 80; broken > limit {
				t.Errorf("closed after %v, %.1f break at any idle time: %d of 1000 broke", closed, always, broken)
			}
		}
	}
}

// If connections break equally often after any idle time, however often that is, they continue to be used.
func TestNoLimitIfIdleTimeDoesNotMatter(t *testing.T) {
	for _, always := range []float64{0, 0.1, 0.3} {
		tr := newTraffic()
		if tooLong, _ := tr.play(5000, 200*time.Millisecond, func(time.Duration) float64 { return always }); tooLong > 250 {
			t.Errorf("%.1f break: %d of 5000 were not used", always, tooLong)
		}
	}
}

// After a fault has ended, idle connections are used again within a few half-lives.
func TestLimitIsForgotten(t *testing.T) {
	tr := newTraffic()
	if tr.MaxIdle(tr.now) != Unlimited {
		t.Error("there is a limit although nothing was recorded")
	}
	tr.play(2000, 200*time.Millisecond, func(idleTime time.Duration) float64 {
		if idleTime > 50*time.Millisecond {
			return 0.6
		}
		return 0
	})
	if limit := tr.MaxIdle(tr.now); limit > 50*time.Millisecond {
		t.Fatalf("the limit is %v", limit)
	}
	tr.play(100*60, 200*time.Millisecond, func(time.Duration) float64 { return 0 })
	if limit := tr.MaxIdle(tr.now); limit < time.Second {
		t.Errorf("a minute later the limit is %v", limit)
	}
}

// For any recorded sequence, a limit is at least firstBucket and at most the longest idle time of a connection that broke.
func TestLimitBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		now, longest := startTime, time.Duration(0) // the longest idle time of a connection that broke
		for range rapid.IntRange(0, 200).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "passed")))
			idleTime := time.Duration(rapid.Int64Range(-1, int64(time.Hour)).Draw(t, "idleTime"))
			broke := rapid.Bool().Draw(t, "broke")
			if e.Record(now, idleTime, broke); broke {
				longest = max(longest, idleTime)
			}
			if limit := e.MaxIdle(now); limit < firstBucket || limit != Unlimited && limit > longest {
				t.Fatalf("the limit is %v, but no connection broke after more than %v", limit, longest)
			}
		}
	})
}

// BenchmarkMaxIdle measures the cost of MaxIdle, which is paid for each use of a connection.
//
//	go test ./internal/sidecar/upstream/reuse -run - -bench MaxIdle
func BenchmarkMaxIdle(b *testing.B) {
	tr := newTraffic()
	tr.play(1000, 200*time.Millisecond, func(time.Duration) float64 { return 0.1 })
	for b.Loop() {
		tr.MaxIdle(tr.now)
	}
}
