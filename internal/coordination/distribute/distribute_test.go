package distribute

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var simOptions = DefaultSubscriberOptions("", "", 3, nil)

// One miss: a call that is not answered, and the pause after it.
var simMiss = simOptions.MaxWait + simOptions.ResponseTimeout + simOptions.MaxBackoff

// A version is with all after a second without faults; after two misses, with one coordinator at a time away,
// stopped or cut off, and some answers lost, late, doubled and broken; and after one miss, and a second, when
// faults have ended.
func TestAllHoldTheNewest(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(t, seed, 3, 500, 40)
			service := func() string { return fmt.Sprint("service-", w.rnd.IntN(40)) }
			w.run(5 * time.Second)
			for range 20 {
				w.publish(service(), time.Second)
				w.run(w.now + w.between(0, 500*time.Millisecond))
			}

			w.faulty = 0.004
			for range 12 {
				n := w.nodes[w.rnd.IntN(len(w.nodes))]
				switch w.rnd.IntN(3) {
				case 0:
					n.kill()
				case 1:
					n.stopped = true
				default:
					n.cut = true
				}
				w.traffic(w.now+w.between(3*time.Second, 12*time.Second), service)
				switch {
				case !n.up:
					n.revive()
				case n.stopped:
					n.awake()
				}
				n.cut = false
				w.traffic(w.now+w.between(3*time.Second, 6*time.Second), service)
			}
			w.allAway(time.Minute)
			w.traffic(w.now+5*time.Second, service)
			for _, n := range w.nodes[:2] {
				n.stopped = true
			}
			w.nodes[2].kill()
			w.run(w.now + 10*time.Second)

			w.nodes[0].awake()
			w.nodes[1].awake()
			w.nodes[2].revive()
			w.faulty, w.back = 0, w.now
			end := w.now + simMiss + time.Second
			w.run(end)
			for _, s := range w.subs {
				if v, _ := w.truth.Newest(s.service); s.Revision() != v.Revision {
					t.Errorf("%s holds %d of %s, of which %d is the newest", s.name, s.Revision(), s.service, v.Revision)
				}
			}
			// What all say is known where they ask, and comes together to what is so.
			w.run(end + 3*simOptions.MaxWait)
			for i := range 40 {
				name := fmt.Sprint("service-", i)
				v, _ := w.truth.Newest(name)
				var all []Summary
				for _, n := range w.nodes {
					all = append(all, n.sums.Summary(w.now, name, v))
				}
				known := (500 + 39 - i) / 40
				if sum := Merge(all); sum.Reported != known || sum.InForce != known || sum.Ahead != 0 || sum.Newest != v.Revision {
					t.Errorf("%d subscribers: %+v", known, sum)
				}
			}
			for _, s := range w.subs {
				if n := w.nodes[s.calls.call.Server]; !n.sums.HasReports(s.service, s.name) {
					t.Errorf("%s's coordinator does not know its reports", s.name)
				}
			}
			w.asksBelow(t)
			t.Logf("%v, %d versions in %d answers, %d taken; refused %v; lost, late, doubled, broken %v; stale %d; "+
				"snapshots %d", w.now, len(w.log), w.told, w.taken, w.refused, w.spoilt, w.stale, w.snapshots)
			for _, n := range w.nodes {
				if n.watches.Waiting() > len(w.subs) {
					t.Errorf("%d wait", n.watches.Waiting())
				}
			}
		})
	}
}

// traffic publishes: now and then two versions of one service within a second, or one of each service at once.
func (w *world) traffic(until time.Duration, service func() string) {
	for w.now < until && !w.t.Failed() {
		name := service()
		switch w.rnd.IntN(12) {
		case 0:
			w.publish(name, 2*simMiss)
			w.run(w.now + w.between(0, time.Second))
			w.publish(name, 2*simMiss)
		case 1:
			for i := range 40 {
				w.publish(fmt.Sprint("service-", i), 2*simMiss)
			}
		default:
			w.publish(name, 2*simMiss)
		}
		w.run(w.now + w.between(0, 3*time.Second))
	}
}

func (w *world) allAway(d time.Duration) {
	w.away = true
	for _, n := range w.nodes {
		n.kill()
	}
	w.run(w.now + d)
	w.away, w.back = false, w.now
	for _, n := range w.nodes {
		n.revive()
	}
}

// asksBelow judges how many ask in a window. Of n subscribers, n/Spread a second in the mean come back after a
// loss, however many are lost together. Others ask again when their hold ends: at n/(Hold/4) a second, where all
// were told something in one moment. Six standard deviations over the mean are chance's.
func (w *world) asksBelow(t *testing.T) (most int) {
	bound := func(window time.Duration) int {
		mean := float64(len(w.subs)) * simCount.Seconds() / window.Seconds()
		return int(mean + 6*math.Sqrt(mean))
	}
	for a, count := range w.asks {
		at := time.Duration(a.window) * simCount
		switch a.kind {
		case "return":
			if most = max(most, count); count > bound(simOptions.ReconnectWindow) {
				t.Errorf("%v: %d come back in %v; %d are the most", at, count, simCount, bound(simOptions.ReconnectWindow))
			}
		case "hold":
			if count > bound(simOptions.MaxWait/4) {
				t.Errorf("%v: %d ask again in %v; %d are the most", at, count, simCount, bound(simOptions.MaxWait/4))
			}
		}
	}
	return most
}

// Agents that begin together, that are told together, and that lose all coordinators together, do not come in step;
// nor while refusals come at once.
func TestNoneComeInStep(t *testing.T) {
	w := newWorld(t, 4, 3, 4000, 40)
	w.run(10 * time.Second)
	for i := range 40 { // all are told in one moment
		w.publish(fmt.Sprint("service-", i), time.Second)
	}
	w.run(w.now + 12*time.Second)
	w.allAway(3 * time.Second)
	if w.asksBelow(t); t.Failed() { // what goes on would only take long
		return
	}
	w.run(w.now + 10*time.Second)
	w.allAway(20 * time.Second)
	w.run(w.now + 10*time.Second)
	most := w.asksBelow(t)
	t.Logf("4000 subscribers: at most %d came back in %v", most, simCount)
	if most < 150 {
		t.Errorf("at most %d came back in %v: this shows nothing", most, simCount)
	}
	// All are back after one miss.
	for _, s := range w.subs {
		if s.failed != 0 {
			t.Errorf("%s has no coordinator", s.name)
		}
	}
}

// A machine that was away while many versions came is told one.
func TestAwayIsToldOneVersion(t *testing.T) {
	w := newWorld(t, 5, 3, 80, 8)
	w.run(5 * time.Second)
	for _, s := range w.subs[:20] {
		s.asleep = true
	}
	for i := range 10 {
		for j := range 8 {
			w.publish(fmt.Sprint("service-", j), time.Second)
		}
		w.run(w.now + time.Duration(i+1)*100*time.Millisecond)
	}
	w.run(w.now + 30*time.Second)
	for _, s := range w.subs[:20] {
		s.asleep, s.told = false, 0
		s.Failed(w.now) // its connection is gone
		s.wake()
	}
	w.run(w.now + simOptions.ReconnectWindow + time.Second)
	for _, s := range w.subs[:20] {
		if v, _ := w.truth.Newest(s.service); s.Revision() != v.Revision || s.told != 1 {
			t.Errorf("%s holds %d of %d and was told %d versions", s.name, s.Revision(), v.Revision, s.told)
		}
	}
}
