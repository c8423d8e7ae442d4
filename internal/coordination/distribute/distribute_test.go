package distribute

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var simOptions = DefaultSubscriberOptions("", "", 3, nil)

// simMissTime is the time of a call that is not answered, and of the pause after it.
var simMissTime = simOptions.MaxWait + simOptions.ResponseTimeout + simOptions.MaxBackoff

// All subscribers hold a version after a second without faults; after two misses, with one coordinator at a time down,
// stopped or partitioned, and some responses lost, late, duplicated and corrupted; and after one miss, and a second, when
// faults have ended.
func TestAllHoldTheNewest(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(t, seed, 3, 500, 40)
			service := func() string { return fmt.Sprint("service-", w.rand.IntN(40)) }
			w.run(5 * time.Second)
			for range 20 {
				w.publish(service(), time.Second)
				w.run(w.now + w.between(0, 500*time.Millisecond))
			}

			w.faultRate = 0.004
			for range 12 {
				n := w.coordinators[w.rand.IntN(len(w.coordinators))]
				switch w.rand.IntN(3) {
				case 0:
					n.kill()
				case 1:
					n.stopped = true
				default:
					n.partitioned = true
				}
				w.traffic(w.now+w.between(3*time.Second, 12*time.Second), service)
				switch {
				case !n.up:
					n.revive()
				case n.stopped:
					n.resume()
				}
				n.partitioned = false
				w.traffic(w.now+w.between(3*time.Second, 6*time.Second), service)
			}
			w.takeAllDown(time.Minute)
			w.traffic(w.now+5*time.Second, service)
			for _, n := range w.coordinators[:2] {
				n.stopped = true
			}
			w.coordinators[2].kill()
			w.run(w.now + 10*time.Second)

			w.coordinators[0].resume()
			w.coordinators[1].resume()
			w.coordinators[2].revive()
			w.faultRate, w.allUpAt = 0, w.now
			end := w.now + simMissTime + time.Second
			w.run(end)
			for _, s := range w.subscribers {
				if v, _ := w.truth.Newest(s.service); s.Revision() != v.Revision {
					t.Errorf("%s holds %d of %s, of which %d is the newest", s.name, s.Revision(), s.service, v.Revision)
				}
			}
			// All reports are at the coordinators that their agents call, and merge to the present state.
			w.run(end + 3*simOptions.MaxWait)
			for i := range 40 {
				name := fmt.Sprint("service-", i)
				v, _ := w.truth.Newest(name)
				var all []Summary
				for _, n := range w.coordinators {
					all = append(all, n.reports.Summary(w.now, name, v))
				}
				known := (500 + 39 - i) / 40
				if sum := Merge(all); sum.Reported != known || sum.InForce != known || sum.Ahead != 0 || sum.Newest != v.Revision {
					t.Errorf("%d subscribers: %+v", known, sum)
				}
			}
			for _, s := range w.subscribers {
				if n := w.coordinators[s.lastCall.call.Server]; !n.reports.HasReports(s.service, s.name) {
					t.Errorf("the coordinator of %s does not have its reports", s.name)
				}
			}
			w.checkCallRates(t)
			t.Logf("%v, %d versions in %d answers, %d taken; refused %v; lost, late, doubled, broken %v; stale %d; "+
				"snapshots %d", w.now, len(w.log), w.sent, w.accepted, w.refused, w.faults, w.stale, w.snapshots)
			for _, n := range w.coordinators {
				if n.watches.Waiting() > len(w.subscribers) {
					t.Errorf("%d wait", n.watches.Waiting())
				}
			}
		})
	}
}

// traffic publishes versions: now and then two of one service within a second, or one of each service at once.
func (w *world) traffic(until time.Duration, service func() string) {
	for w.now < until && !w.t.Failed() {
		name := service()
		switch w.rand.IntN(12) {
		case 0:
			w.publish(name, 2*simMissTime)
			w.run(w.now + w.between(0, time.Second))
			w.publish(name, 2*simMissTime)
		case 1:
			for i := range 40 {
				w.publish(fmt.Sprint("service-", i), 2*simMissTime)
			}
		default:
			w.publish(name, 2*simMissTime)
		}
		w.run(w.now + w.between(0, 3*time.Second))
	}
}

func (w *world) takeAllDown(d time.Duration) {
	w.allDown = true
	for _, n := range w.coordinators {
		n.kill()
	}
	w.run(w.now + d)
	w.allDown, w.allUpAt = false, w.now
	for _, n := range w.coordinators {
		n.revive()
	}
}

// checkCallRates checks the numbers of calls in each window. Of n subscribers, n/ReconnectWindow a second in the mean call after a
// loss, however many lose a coordinator together. Others call again when their wait ends: at n/(MaxWait/4) a second, where all
// were answered at one moment. Six standard deviations above the mean are left to chance.
func (w *world) checkCallRates(t *testing.T) (most int) {
	bound := func(window time.Duration) int {
		mean := float64(len(w.subscribers)) * simWindow.Seconds() / window.Seconds()
		return int(mean + 6*math.Sqrt(mean))
	}
	for a, count := range w.calls {
		at := time.Duration(a.window) * simWindow
		switch a.kind {
		case "return":
			if most = max(most, count); count > bound(simOptions.ReconnectWindow) {
				t.Errorf("%v: %d come back in %v; %d are the most", at, count, simWindow, bound(simOptions.ReconnectWindow))
			}
		case "hold":
			if count > bound(simOptions.MaxWait/4) {
				t.Errorf("%v: %d call again in %v; %d are the most", at, count, simWindow, bound(simOptions.MaxWait/4))
			}
		}
	}
	return most
}

// Calls of agents that begin together, that are answered together, and that lose all coordinators together, are spread over time;
// also while refusals come at once.
func TestCallsAreSpread(t *testing.T) {
	w := newWorld(t, 4, 3, 4000, 40)
	w.run(10 * time.Second)
	for i := range 40 { // all are answered at one moment
		w.publish(fmt.Sprint("service-", i), time.Second)
	}
	w.run(w.now + 12*time.Second)
	w.takeAllDown(3 * time.Second)
	if w.checkCallRates(t); t.Failed() { // the rest would only take long
		return
	}
	w.run(w.now + 10*time.Second)
	w.takeAllDown(20 * time.Second)
	w.run(w.now + 10*time.Second)
	most := w.checkCallRates(t)
	t.Logf("4000 subscribers: at most %d came back in %v", most, simWindow)
	if most < 150 {
		t.Errorf("at most %d came back in %v: this shows nothing", most, simWindow)
	}
	// All have a coordinator after one miss.
	for _, s := range w.subscribers {
		if s.failures != 0 {
			t.Errorf("%s has no coordinator", s.name)
		}
	}
}

// A machine that was absent while many versions came is sent one.
func TestOneVersionAfterAnAbsence(t *testing.T) {
	w := newWorld(t, 5, 3, 80, 8)
	w.run(5 * time.Second)
	for _, s := range w.subscribers[:20] {
		s.asleep = true
	}
	for i := range 10 {
		for j := range 8 {
			w.publish(fmt.Sprint("service-", j), time.Second)
		}
		w.run(w.now + time.Duration(i+1)*100*time.Millisecond)
	}
	w.run(w.now + 30*time.Second)
	for _, s := range w.subscribers[:20] {
		s.asleep, s.versionsSent = false, 0
		s.Failed(w.now) // its connection is closed
		s.wake()
	}
	w.run(w.now + simOptions.ReconnectWindow + time.Second)
	for _, s := range w.subscribers[:20] {
		if v, _ := w.truth.Newest(s.service); s.Revision() != v.Revision || s.versionsSent != 1 {
			t.Errorf("%s holds %d of %d and was sent %d versions", s.name, s.Revision(), v.Revision, s.versionsSent)
		}
	}
}
