package rehearse

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/rig/racedetector"
	"petrelhook/internal/rig/scenario"
)

const latency = 200 * time.Microsecond

func parse(t testing.TB, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("test", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// play plays a scenario and returns its outcome.
func play(t *testing.T, s *scenario.Scenario, change ...func(*Rehearsal)) *Outcome {
	t.Helper()
	out, err := playScenario(t, s, change...)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// playScenario plays a scenario on a network in memory, in virtual time. With REHEARSE_LOG set, the sidecars' logs are shown.
func playScenario(t *testing.T, s *scenario.Scenario, change ...func(*Rehearsal)) (out *Outcome, err error) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		n := memnet.New(latency)
		var log *slog.Logger
		if os.Getenv("REHEARSE_LOG") != "" {
			log = slog.New(slog.NewTextHandler(os.Stderr, nil))
		}
		r := &Rehearsal{Scenario: s, Network: n, Sidecars: &InProcess{Network: n, Log: log}}
		for _, f := range change {
			f(r)
		}
		out, err = r.Run(t.Context())
		if open := n.Open(); open > 0 {
			err = errors.Join(err, fmt.Errorf("%d connections are open after the end", open))
		}
	})
	return out, err
}

// service has classes of all effects. The fleet can serve its loads with a third of its servers away.
const service = `
sidecars 2
fleet 6 cells=2 cores=2 queue=32
class permit-lookup share=55 effect=safe work=6ms..11ms io=7ms..13ms aim=75ms deadline=1s worth=3 late=0.3
class plate-reserve share=25 effect=keyed group=cell window=800ms work=2ms..3ms io=3ms..6ms aim=50ms deadline=600ms worth=8 late=0.5
class permit-issue share=15 effect=keyed window=500ms work=2ms..4ms io=5ms..9ms aim=60ms deadline=500ms worth=3 late=0.25
class plate-void share=5 effect=unsafe work=2ms..4ms io=5ms..9ms aim=60ms deadline=500ms worth=3 late=0.25
tenant kamikawa share=60
tenant ishikari share=40
clients patience=60%..100% retries=2 wait=40ms
rules cold-from=12% cold-time=8s
`

const steady = service + "length 5s\narrive poisson 150/s\n"

// The real core, each fault by itself: no rule is broken, the fault had an effect, and nearly all is served.
func TestFaultsBreakNoRule(t *testing.T) {
	repeats := func(o *Outcome) bool { return o.Audit.Judged.Repeats > 0 }
	drains := func(o *Outcome) bool { return o.Audit.Judged.Drains > 0 }
	slowStarts := func(o *Outcome) bool { return o.Audit.Judged.SlowStarts > 0 }
	slower := func(o *Outcome) bool { return o.Load.Classes[0].Percentile(99) > 30*time.Millisecond }
	unnoticed := func(o *Outcome) bool { return o.Audit.Judged.Drains == 0 }
	noEffect := func(*Outcome) bool { return true }
	for _, c := range []struct {
		fault  string
		effect func(*Outcome) bool
	}{
		{"", noEffect},
		{"at 1s s1 stall for 1s", func(o *Outcome) bool { return o.Load.Classes[0].Latency.Max() > 400_000 }},
		{"at 1s s1..s2 slow x6 for 2s", slower},
		{"at 1s s1 error 50% for 2s", repeats},
		{"at 1s s1 garble for 2s", repeats},
		{"at 1s s1 reset-in 50% for 2s", repeats},
		{"at 1s s1 reset-out 50% for 2s", repeats},
		{"at 1s s1..s2 silent for 2s", slower},
		{"at 1s s1 full for 2s", repeats},
		{"at 1s s1 drain", drains},
		{"at 1s s1 gone drain=1s", drains},
		{"at 1s s1 gone", drains},
		{"at 1s s1 restart down=300ms cold=12% warm=4s", slowStarts},
		{"at 1s all roll batch=1 every=600ms drain=500ms cold=12% warm=4s", slowStarts},
		{"at 1s discovery down for 2s\nat 1500ms s1 gone drain=1s", drains},
		{"at 1s discovery mute for 2s", noEffect},
		{"discovery pushed=yes\nat 1s discovery down for 2s\nat 1500ms s1 gone drain=1s", drains},
		{"discovery pushed=yes\nat 1s all roll batch=1 every=600ms drain=500ms cold=12% warm=4s", drains},
		{"at 0s discovery late by=9s for 5s\nat 1s s1 gone drain=2s", unnoticed},
	} {
		t.Run(c.fault, func(t *testing.T) {
			out := play(t, parse(t, steady+c.fault))
			for _, b := range out.Audit.Breaches {
				t.Error(b)
			}
			if !c.effect(out) {
				t.Errorf("the fault had no effect: judged %+v, p99 %v", out.Audit.Judged, out.Load.Classes[0].Percentile(99))
			}
			counts := out.Load.Classes[0].Counts
			if counts.All() < 700 || float64(counts.Served) < 0.97*float64(counts.All()) {
				t.Errorf("%+v", counts)
			}
			if len(out.Load.Invalid) > 0 {
				t.Error(out.Load.Invalid)
			}
		})
	}
}

// The same script gives the same audit a thousand times over, and the same counts and percentiles.
func TestSameScriptSameOutcome(t *testing.T) {
	const workers = 4
	runs := 1000
	if testing.Short() || racedetector.Enabled {
		runs = 40
	}
	s := parse(t, service+`
length 700ms
arrive poisson 120/s
at 100ms s1 stall for 200ms
at 100ms s2 error 50% for 400ms
at 200ms s3 gone drain=100ms
at 200ms s4 restart down=100ms cold=12% warm=4s
at 300ms s5 silent for 200ms
`)
	var mu sync.Mutex
	seen := map[string]int{} // how often, by summary
	worker := func(t *testing.T) {
		t.Parallel()
		for range runs / workers {
			summary := summarize(t, play(t, s))
			mu.Lock()
			seen[summary]++
			mu.Unlock()
		}
	}
	t.Run("runs", func(t *testing.T) {
		for w := range workers {
			t.Run(fmt.Sprint(w), worker)
		}
	})
	if len(seen) != 1 {
		for summary, n := range seen {
			t.Errorf("%d times: %s", n, summary)
		}
	}
}

// summarize is the audit, the counts and two percentiles of an outcome as text.
func summarize(t *testing.T, out *Outcome) string {
	t.Helper()
	text, err := json.Marshal(out.Audit)
	if err != nil {
		t.Fatal(err)
	}
	all := out.Load.Classes[0]
	return fmt.Sprintf("%s %+v p50 %v p99 %v", text, all.Counts, all.Percentile(50), all.Percentile(99))
}
