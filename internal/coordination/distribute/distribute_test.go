package distribute

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var simOptions = DefaultSubscriberOptions("", "", 3, nil)

// simFailedCallTime bounds the time of a call that is not answered and of the pause after it.
var simFailedCallTime = simOptions.MaxWait + simOptions.ResponseTimeout + simOptions.MaxBackoff

// All subscribers hold a version within a second if there are no faults; within the time of two failed calls if one coordinator
// at a time is down, stopped or partitioned and some responses are lost, late, duplicated or corrupted; and within the time of
// one failed call and a second once the faults have ended.
func TestAllHoldTheNewest(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 3, 500, 40)
			service := func() string { return fmt.Sprint("service-", sim.rand.IntN(40)) }
			sim.run(5 * time.Second)
			for range 20 {
				sim.publish(service(), time.Second)
				sim.run(sim.now + sim.between(0, 500*time.Millisecond))
			}

			sim.faultRate = 0.004
			for range 12 {
				coord := sim.coordinators[sim.rand.IntN(len(sim.coordinators))]
				switch sim.rand.IntN(3) {
				case 0:
					coord.kill()
				case 1:
					coord.stopped = true
				default:
					coord.partitioned = true
				}
				sim.traffic(sim.now+sim.between(3*time.Second, 12*time.Second), service)
				switch {
				case !coord.up:
					coord.start()
				case coord.stopped:
					coord.resume()
				}
				coord.partitioned = false
				sim.traffic(sim.now+sim.between(3*time.Second, 6*time.Second), service)
			}
			sim.takeAllDown(time.Minute)
			sim.traffic(sim.now+5*time.Second, service)
			for _, coord := range sim.coordinators[:2] {
				coord.stopped = true
			}
			sim.coordinators[2].kill()
			sim.run(sim.now + 10*time.Second)

			sim.coordinators[0].resume()
			sim.coordinators[1].resume()
			sim.coordinators[2].start()
			sim.faultRate, sim.allUpAt = 0, sim.now
			end := sim.now + simFailedCallTime + time.Second
			sim.run(end)
			for _, s := range sim.subscribers {
				if v, _ := sim.reference.Newest(s.service); s.Revision() != v.Revision {
					t.Errorf("%s holds %d of %s, whose newest version is %d", s.name, s.Revision(), s.service, v.Revision)
				}
			}
			// Each coordinator has the reports of the agents that call it, and merging them gives the current state.
			sim.run(end + 3*simOptions.MaxWait)
			for i := range 40 {
				name := fmt.Sprint("service-", i)
				v, _ := sim.reference.Newest(name)
				var all []Summary
				for _, coord := range sim.coordinators {
					all = append(all, coord.reports.Summary(sim.now, name, v))
				}
				known := (500 + 39 - i) / 40
				if sum := Merge(all); sum.Reported != known || sum.InForce != known || sum.Ahead != 0 || sum.Newest != v.Revision {
					t.Errorf("%d subscribers: %+v", known, sum)
				}
			}
			for _, s := range sim.subscribers {
				if coord := sim.coordinators[s.lastCall.request.Server]; !coord.reports.HasReports(s.service, s.name) {
					t.Errorf("the coordinator of %s does not have its reports", s.name)
				}
			}
			sim.checkCallRates(t)
			t.Logf("%v, %d versions in %d answers, %d accepted; results %v; lost, late, duplicated, corrupted %v; stale %d; "+
				"snapshots %d", sim.now, len(sim.log), sim.sent, sim.accepted, sim.acceptErrors, sim.faults, sim.stale, sim.snapshots)
			for _, coord := range sim.coordinators {
				if coord.watches.Waiting() > len(sim.subscribers) {
					t.Errorf("%d calls wait", coord.watches.Waiting())
				}
			}
		})
	}
}

// traffic publishes versions at random times, sometimes two of one service within a second, or one of each service at once.
func (sim *simulation) traffic(until time.Duration, service func() string) {
	for sim.now < until && !sim.t.Failed() {
		name := service()
		switch sim.rand.IntN(12) {
		case 0:
			sim.publish(name, 2*simFailedCallTime)
			sim.run(sim.now + sim.between(0, time.Second))
			sim.publish(name, 2*simFailedCallTime)
		case 1:
			for i := range 40 {
				sim.publish(fmt.Sprint("service-", i), 2*simFailedCallTime)
			}
		default:
			sim.publish(name, 2*simFailedCallTime)
		}
		sim.run(sim.now + sim.between(0, 3*time.Second))
	}
}

// takeAllDown kills all coordinators and starts them after d.
func (sim *simulation) takeAllDown(d time.Duration) {
	sim.allDown = true
	for _, coord := range sim.coordinators {
		coord.kill()
	}
	sim.run(sim.now + d)
	sim.allDown, sim.allUpAt = false, sim.now
	for _, coord := range sim.coordinators {
		coord.start()
	}
}

// checkCallRates checks the number of calls in each window and returns the largest number of reconnects. With n subscribers, the
// mean rate of reconnects is at most n/ReconnectWindow, however many subscribers lose a coordinator at the same time. Subscribers
// whose wait ended call again at a mean rate of at most n/(MaxWait/4), which is reached if all were answered at the same time.
// The check allows six standard deviations above these means.
func (sim *simulation) checkCallRates(t *testing.T) (most int) {
	bound := func(window time.Duration) int {
		mean := float64(len(sim.subscribers)) * simWindow.Seconds() / window.Seconds()
		return int(mean + 6*math.Sqrt(mean))
	}
	for key, count := range sim.calls {
		at := time.Duration(key.window) * simWindow
		switch key.kind {
		case "reconnect":
			if most = max(most, count); count > bound(simOptions.ReconnectWindow) {
				t.Errorf("%v: %d reconnects in %v; want at most %d", at, count, simWindow, bound(simOptions.ReconnectWindow))
			}
		case "unchanged":
			if count > bound(simOptions.MaxWait/4) {
				t.Errorf("%v: %d calls after a wait in %v; want at most %d", at, count, simWindow, bound(simOptions.MaxWait/4))
			}
		}
	}
	return most
}

// The calls of agents that start together, are answered together or lose all coordinators together are spread over time, even if
// refusals arrive immediately.
func TestCallsAreSpread(t *testing.T) {
	sim := newSimulation(t, 4, 3, 4000, 40)
	sim.run(10 * time.Second)
	for i := range 40 { // all agents are answered at the same time
		sim.publish(fmt.Sprint("service-", i), time.Second)
	}
	sim.run(sim.now + 12*time.Second)
	sim.takeAllDown(3 * time.Second)
	if sim.checkCallRates(t); t.Failed() { // with these failures the rest would take long
		return
	}
	sim.run(sim.now + 10*time.Second)
	sim.takeAllDown(20 * time.Second)
	sim.run(sim.now + 10*time.Second)
	most := sim.checkCallRates(t)
	t.Logf("4000 subscribers: at most %d reconnects in %v", most, simWindow)
	if most < 150 {
		t.Errorf("at most %d reconnects in %v: too few for the bound to be tested", most, simWindow)
	}
	// All subscribers have a coordinator again.
	for _, s := range sim.subscribers {
		if s.failures != 0 {
			t.Errorf("%s has no coordinator", s.name)
		}
	}
}

// A machine that was absent while many versions were published is sent one version only.
func TestOneVersionAfterAnAbsence(t *testing.T) {
	sim := newSimulation(t, 5, 3, 80, 8)
	sim.run(5 * time.Second)
	for _, s := range sim.subscribers[:20] {
		s.absent = true
	}
	for i := range 10 {
		for j := range 8 {
			sim.publish(fmt.Sprint("service-", j), time.Second)
		}
		sim.run(sim.now + time.Duration(i+1)*100*time.Millisecond)
	}
	sim.run(sim.now + 30*time.Second)
	for _, s := range sim.subscribers[:20] {
		s.absent, s.versionsSent = false, 0
		s.Failed(sim.now) // its connection was closed
		s.scheduleNextCall()
	}
	sim.run(sim.now + simOptions.ReconnectWindow + time.Second)
	for _, s := range sim.subscribers[:20] {
		if v, _ := sim.reference.Newest(s.service); s.Revision() != v.Revision || s.versionsSent != 1 {
			t.Errorf("%s holds %d, want %d, and was sent %d versions", s.name, s.Revision(), v.Revision, s.versionsSent)
		}
	}
}
