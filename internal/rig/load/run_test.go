package load

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/rig/arrival"
	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/rig/scenario"
	"petrelhook/internal/rig/standin"
)

const (
	latency = 200 * time.Microsecond // one way
	rtt     = 2*latency + 30*time.Microsecond
)

// direct sends a scenario's load to its first server without a sidecar, in virtual time.
func direct(t *testing.T, text string, change func(r *Runner, stop func())) (result *Result, records audit.Records) {
	t.Helper()
	s, err := scenario.Parse("test", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	bubble.Test(t, func(t *testing.T) {
		n, rec, zero := memnet.New(latency), &audit.Recorder{}, time.Now()
		fleet, err := standin.Start(s, n, rec, zero)
		if err != nil {
			t.Fatal(err)
		}
		defer fleet.Close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := &Runner{Scenario: s, Targets: []string{fleet.Addr(0)}, Dial: n.Dial, Zero: zero, Calls: rec}
		if change != nil {
			change(r, cancel)
		}
		played := make(chan struct{})
		go func() {
			defer close(played)
			fleet.Run(ctx)
		}()
		if result, err = r.Run(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		<-played
		records = rec.Records()
	})
	return result, records
}

const oneServer = `
length 10s
sidecars 0
fleet 1 cores=100000
class read deadline=5s
`

// A server stalls for a second, from 3 s to 4 s, while 100 requests a second are scheduled for 10 s. The 100 that are scheduled in
// the stall, at 3.00, 3.01, ... 3.99 s, are answered when it ends: after 1000, 990, ... 10 ms. The other 900 take a round
// trip. In order, then, ranks 1 to 900 are a round trip, and rank 900+k is 10k ms (and a round trip): the 90th percentile
// is rank 900, a round trip; the 91st 100 ms, the 95th 500 ms, the 99th 900 ms, the 99.9th (rank 999) 990 ms, the
// highest 1000 ms.
func TestStallIsCountedInFull(t *testing.T) {
	result, _ := direct(t, oneServer+"arrive constant 100/s\nat 3s s1 stall for 1s", nil)
	all := &result.Classes[0]
	if all.Counts.Served != 1000 || len(result.Invalid) > 0 {
		t.Fatalf("%+v, %v", all.Counts, result.Invalid)
	}
	for _, c := range []struct {
		percentile float64
		want       time.Duration
	}{
		{50, 0}, {90, 0}, {91, 100 * time.Millisecond}, {95, 500 * time.Millisecond}, {99, 900 * time.Millisecond},
		{99.9, 990 * time.Millisecond}, {100, time.Second},
	} {
		got := all.Percentile(c.percentile)
		highest := c.want + 2*rtt + c.want/1000 // histograms keep three digits; the first request of a connection opens it
		if got < c.want || got > highest {
			t.Errorf("percentile %v: %v, want %v to %v", c.percentile, got, c.want, highest)
		}
	}
}

// For comparison, a closed loop, which sends a request at its scheduled time or when the one before is answered, if that is later: it
// sends a single request during the stall, and its 99th percentile is a round trip.
func TestClosedLoopHidesTheStall(t *testing.T) {
	s, err := scenario.Parse("test", strings.NewReader(oneServer+"arrive constant 100/s\nat 3s s1 stall for 1s"))
	if err != nil {
		t.Fatal(err)
	}
	bubble.Test(t, func(t *testing.T) {
		n, rec, zero := memnet.New(latency), &audit.Recorder{}, time.Now()
		fleet, err := standin.Start(s, n, rec, zero)
		if err != nil {
			t.Fatal(err)
		}
		defer fleet.Close()
		go fleet.Run(t.Context())
		c := &client{dial: n.Dial, addr: fleet.Addr(0), limit: &connectionLimit{max: 10}, onUnexpectedAnswer: func(string) {}}
		defer c.close()
		var latencies []time.Duration
		for next := zero; next.Before(zero.Add(10 * time.Second)); next = next.Add(10 * time.Millisecond) {
			time.Sleep(time.Until(next)) // not at all if the loop is late: it has missed the scheduled time
			if time.Since(next) > 10*time.Millisecond {
				continue
			}
			began := time.Now()
			call := audit.Call{Trace: next.String(), Class: "read", Patience: 5 * time.Second}
			if err := c.send(&call, &request{method: "GET", class: "read", trace: next.String(), operation: "1"}, 0, func() time.Duration { return time.Since(zero) }); err != nil {
				t.Fatal(err)
			}
			latencies = append(latencies, time.Since(began))
		}
		slices.Sort(latencies)
		if p99 := latencies[len(latencies)*99/100]; p99 > 2*rtt {
			t.Errorf("p99 %v: this loop should have hidden the stall", p99)
		}
		if longest := latencies[len(latencies)-1]; longest < 990*time.Millisecond {
			t.Errorf("no stall: %v", longest)
		}
	})
}

// Clients wait 300 ms, and the slack is 50 ms. The 65 requests that are scheduled for 3.00 to 3.64 s are answered after more than
// that or never; the other 35 of the stall are served (that of 3.65 s is on a new connection, and sent a bit later).
func TestStallLongerThanPatience(t *testing.T) {
	text := strings.Replace(oneServer, "deadline=5s", "deadline=300ms", 1)
	result, records := direct(t, text+"arrive constant 100/s\nat 3s s1 stall for 1s", nil)
	want := Counts{Served: 935, Lost: 65}
	if got := result.Classes[0].Counts; got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	for _, c := range records.Calls {
		if c.Result == audit.Lost && c.Answered == audit.Never && (c.HungUp < c.Sent+450*time.Millisecond || c.HungUp > c.Sent+451*time.Millisecond) {
			t.Errorf("sent at %v, hung up at %v", c.Sent, c.HungUp)
		}
	}
}

// A step needs a hundred connections and the bound is twenty: the result is invalid, and counts the requests without a connection.
func TestStepBeyondTheConnectionBound(t *testing.T) {
	text := strings.Replace(oneServer, "class read", "class read io=100ms", 1)
	result, records := direct(t, text+"arrive step 100/s..1000/s at=5s", func(r *Runner, stop func()) { r.MaxConnections = 20 })
	if result.NoConnection == 0 || len(result.Invalid) != 1 || !strings.Contains(result.Invalid[0], "descriptor") {
		t.Errorf("%d got no connection, %v", result.NoConnection, result.Invalid)
	}
	counts := result.Classes[0].Counts
	if counts.Unreached != result.NoConnection || counts.All() != 5500 || result.PeakOpen != 20 {
		t.Errorf("%+v, %d got no connection, %d open at most", counts, result.NoConnection, result.PeakOpen)
	}
	for _, c := range records.Calls {
		if c.ScheduledAt < 5*time.Second && c.Result != audit.Served {
			t.Fatalf("before the step: %+v", c)
		}
	}
}

func TestLagMakesTheResultInvalid(t *testing.T) {
	result, _ := direct(t, oneServer+"arrive constant 100/s", func(r *Runner, stop func()) {
		r.Wait = func(_ context.Context, until time.Time) { time.Sleep(time.Until(until) + 30*time.Millisecond) }
	})
	if len(result.Invalid) != 1 || !strings.Contains(result.Invalid[0], "lagged") {
		t.Errorf("%v", result.Invalid)
	}
	if p50 := result.Classes[0].Percentile(50); p50 < 10*time.Millisecond {
		t.Errorf("p50 %v: latency must count from the scheduled time of a request", p50)
	}
}

// Requests that were scheduled before the stop are finished and counted; later ones are not sent.
func TestEarlyStopIsPartial(t *testing.T) {
	text := strings.Replace(oneServer, "class read", "class read io=500ms", 1)
	result, _ := direct(t, text+"arrive constant 100/s", func(r *Runner, stop func()) {
		time.AfterFunc(2*time.Second-5*time.Millisecond, stop)
	})
	if got := result.Classes[0].Counts; !result.Partial || got != (Counts{Served: 200}) {
		t.Errorf("partial %v, %+v", result.Partial, got)
	}
}

func TestClientsRetryOnlyWhereItDoesNoHarm(t *testing.T) {
	safe := &scenario.Class{Effect: scenario.Safe}
	all := &scenario.Class{Effect: scenario.Keyed, Group: scenario.GroupAll, Window: time.Second}
	cell := &scenario.Class{Effect: scenario.Keyed, Group: scenario.GroupCell, Window: time.Second}
	once := &scenario.Class{Effect: scenario.Unsafe}
	for _, c := range []struct {
		class  *scenario.Class
		result audit.Result
		after  time.Duration
		want   bool
	}{
		{safe, audit.Failed, 0, true}, {safe, audit.Lost, 0, true}, {safe, audit.Served, 0, false},
		{all, audit.Failed, 999 * time.Millisecond, true}, {all, audit.Failed, time.Second, false}, {all, audit.Refused, time.Hour, true},
		{cell, audit.Failed, 0, false}, {cell, audit.Refused, 0, true},
		{once, audit.Failed, 0, false}, {once, audit.Lost, 0, false}, {once, audit.Refused, 0, true}, {once, audit.Unreached, 0, true},
	} {
		if got := mayRetry(c.class, &audit.Call{Result: c.result}, c.after); got != c.want {
			t.Errorf("%s after %v: %v, want %v", c.class.Effect, c.result, got, c.want)
		}
	}
}

// The timeline of a run of any length has at most maxSlices slices, and counts every operation.
func TestTimelineStaysBounded(t *testing.T) {
	c := Timeline{Width: 250 * time.Millisecond}
	n := 0
	for at := time.Duration(0); at < 100*time.Hour; at += 97 * time.Second {
		c.slice(at).Counts.Served++
		n++
	}
	sum := 0
	for _, s := range c.Slices {
		sum += s.Counts.Served
	}
	if len(c.Slices) > maxSlices || sum != n {
		t.Errorf("%d slices of %v, %d of %d operations", len(c.Slices), c.Width, sum, n)
	}
}

// Two requests that are scheduled for the same time and one an hour later are each sent at their time.
func TestTraceWithAnHoursGap(t *testing.T) {
	text := strings.Replace(oneServer, "length 10s", "length 2h", 1) + "arrive constant 1/s"
	result, records := direct(t, text, func(r *Runner, _ func()) {
		r.Schedule = arrival.NewTrace("t", strings.NewReader("{\"due_us\":1000}\n{\"due_us\":1000}\n{\"due_us\":3600001000}\n"))
	})
	if all := &result.Classes[0]; all.Counts.Served != 3 || all.Percentile(100) > 2*rtt {
		t.Errorf("%+v, slowest %v", all.Counts, all.Percentile(100))
	}
	var scheduled []time.Duration
	for _, c := range records.Calls {
		scheduled = append(scheduled, c.ScheduledAt)
	}
	slices.Sort(scheduled)
	if want := []time.Duration{time.Millisecond, time.Millisecond, time.Hour + time.Millisecond}; !slices.Equal(scheduled, want) {
		t.Errorf("scheduled for %v", scheduled)
	}
}

// With a skew a few objects get most requests; without one all get about as many.
func TestKeysFollowZipf(t *testing.T) {
	highest := func(skew float64) (n int) {
		s := &scenario.Scenario{Seed: 3, Classes: []scenario.Class{{Name: "read", Share: 1}}, Clients: scenario.Clients{Objects: 100, Skew: skew}}
		m, seen := newRequestMix(s), map[string]int{}
		for i := range 10_000 {
			seen[m.draw(i, arrival.Arrival{}).Object]++
		}
		for _, count := range seen {
			n = max(n, count)
		}
		return n
	}
	if even, skewed := highest(0), highest(1.5); even > 150 || skewed < 3000 {
		t.Errorf("the most frequent of 100 objects: %d of 10,000 without skew, %d with", even, skewed)
	}
}
