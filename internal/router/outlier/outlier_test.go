package outlier

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testFleet simulates, in virtual time, routers that each report to a home, and servers that fail a fraction of their
// requests.
type testFleet struct {
	random             *rand.Rand
	homes              []*Detector
	tallies            []*Tally // router i has home i mod len(homes)
	servers            map[string]string
	failureProbability func(server string, router int) float64 // of a router's request to a server
	ejected            []map[string]float64                    // by home: the trial probabilities of ejected servers
	now                time.Duration
	sent               map[string]int
	failed             map[string]int
}

// ServiceOf implements Services.
func (f *testFleet) ServiceOf(id string) string { return f.servers[id] }

// UsableServers implements Services.
func (f *testFleet) UsableServers(service string) int {
	n := 0
	for _, s := range f.servers {
		if s == service {
			n++
		}
	}
	return n
}

func newTestFleet(seed uint64, homes, routers, servers int) *testFleet {
	f := &testFleet{random: rand.New(rand.NewPCG(seed, 1)), servers: map[string]string{}, sent: map[string]int{}, failed: map[string]int{},
		failureProbability: func(string, int) float64 { return 0 }}
	for i := range servers {
		f.servers[serverName(i)] = "s"
	}
	for range homes {
		f.homes = append(f.homes, NewDetector(f))
		f.ejected = append(f.ejected, map[string]float64{})
	}
	for range routers {
		f.tallies = append(f.tallies, NewTally())
	}
	return f
}

func serverName(i int) string { return fmt.Sprintf("s%02d", i) }

// pick returns the server that a router of a home chooses: an ejected one as a trial, or a random one that is not
// ejected.
func (f *testFleet) pick(home int) string {
	for _, id := range slices.Sorted(maps.Keys(f.ejected[home])) {
		if f.random.Float64() < f.ejected[home][id] {
			return id
		}
	}
	allEjected := len(f.ejected[home]) == len(f.servers)
	for {
		if id := serverName(f.random.IntN(len(f.servers))); allEjected || f.ejected[home][id] == 0 {
			return id
		}
	}
}

// run simulates span with rate requests per second from all routers together.
func (f *testFleet) run(rate float64, span time.Duration) {
	const step = 100 * time.Millisecond
	for end := f.now + span; f.now < end; f.now += step {
		for range int(rate*step.Seconds() + f.random.Float64()) {
			router := f.random.IntN(len(f.tallies))
			id := f.pick(router % len(f.homes))
			failed := f.random.Float64() < f.failureProbability(id, router)
			f.tallies[router].Add(id, failed)
			f.sent[id]++
			if failed {
				f.failed[id]++
			}
		}
		for i, t := range f.tallies {
			if r, ok := t.Take(f.now); ok {
				f.homes[i%len(f.homes)].ApplyReport(fmt.Sprint(i), r, f.now)
			}
		}
		for i, home := range f.homes {
			for j, other := range f.homes {
				if i != j {
					other.ApplyPeerSums(fmt.Sprint(i), home.Sums(f.now), f.now)
				}
			}
		}
		for i, home := range f.homes {
			f.ejected[i] = map[string]float64{}
			for _, e := range home.Judge(1/float64(len(f.homes)), f.now) {
				f.ejected[i][e.Server] = e.Trial
			}
		}
	}
}

func (f *testFleet) failOnly(server string, ratio float64) {
	f.failureProbability = func(id string, _ int) float64 {
		if id == server {
			return ratio
		}
		return 0.004
	}
}

// fleets are deployments of different sizes, with the requests per second of each.
var fleets = map[string]struct{ homes, routers, servers, rate int }{
	"11 routers, 14 servers": {4, 11, 14, 250},
	"9 routers, 3 servers":   {3, 9, 3, 60},
	"92 routers, 44 servers": {5, 92, 44, 770},
	"72 routers, 4 servers":  {6, 72, 4, 200},
}

// A server that fails a fraction of its requests is ejected within seconds, however few requests each router sends. While
// it is ejected it gets a few trials from all routers together, and the ejection ends within seconds after it recovers.
func TestAServerThatFailsInPart(t *testing.T) {
	for title, size := range fleets {
		for _, ratio := range []float64{0.3, 0.5, 1} {
			f := newTestFleet(1, size.homes, size.routers, size.servers)
			f.run(float64(size.rate), 5*time.Second)
			for i := range f.homes {
				require.Empty(t, f.ejected[i], title)
			}
			f.failOnly("s01", ratio)
			f.run(float64(size.rate), 3*time.Second)
			for i := range f.homes {
				require.Contains(t, f.ejected[i], "s01", "%s, %.1f", title, ratio)
			}
			before := f.sent["s01"]
			f.run(float64(size.rate), 10*time.Second)
			trials := float64(f.sent["s01"]-before) / 10
			require.LessOrEqual(t, trials, 2*trialsPerSecond, "%s, %.1f: trials a second", title, ratio)
			require.Positive(t, trials)
			f.failOnly("", 0)
			f.run(float64(size.rate), 15*time.Second)
			for i := range f.homes {
				require.Empty(t, f.ejected[i], title)
			}
		}
	}
}

// Within ten seconds, fewer attempts fail than without shared evidence. Without it, a router ejects no server that fails
// only a fraction of its requests, since it hardly ever sees three consecutive errors.
func TestSharedEvidenceBesideNone(t *testing.T) {
	for title, size := range fleets {
		f := newTestFleet(2, size.homes, size.routers, size.servers)
		f.failOnly("s01", 0.4)
		f.run(float64(size.rate), 10*time.Second)
		withoutSharing := 0.4 * float64(size.rate) / float64(size.servers) * 10
		t.Logf("%s: %d failed, about %.0f without shared evidence", title, f.failed["s01"], withoutSharing)
		require.Less(t, float64(f.failed["s01"]), 0.7*withoutSharing, title)
	}
}

// A server that fails only for the callers of one zone is ejected there, and never for the other zones.
func TestAServerThatFailsForOneZone(t *testing.T) {
	for _, ratio := range []float64{0.6, 1} {
		f := newTestFleet(3, 4, 40, 12)
		f.run(400, 3*time.Second)
		f.failureProbability = func(id string, router int) float64 {
			if id == "s01" && router%4 == 2 {
				return ratio
			}
			return 0
		}
		for range 50 {
			f.run(400, 100*time.Millisecond)
			for _, home := range []int{0, 1, 3} {
				require.NotContains(t, f.ejected[home], "s01")
			}
		}
		require.Contains(t, f.ejected[2], "s01")
	}
}

// The fleet's evidence on a server counts unless the own reporters have enough successful attempts there to overrule it.
func TestOwnEvidenceOverrulesTheFleets(t *testing.T) {
	for _, test := range []struct {
		own     uint16 // attempts of the own reporters, all of which succeeded
		ejected int
	}{{2, 1}, {ownSendsToOverrule + 2, 0}} {
		f := newTestFleet(9, 1, 1, 4)
		f.homes[0].ApplyReport("own", Report{Servers: []string{"s01"}, Sent: []uint16{test.own / 2}, Failed: []uint16{0}}, 0)
		f.homes[0].ApplyReport("another", Report{Servers: []string{"s01"}, Sent: []uint16{test.own / 2}, Failed: []uint16{0}}, 0)
		f.homes[0].ApplyPeerSums("peer", []Sum{{Server: "s01", All: Count{Sent: 40, Failed: 30}, Worst: Count{Sent: 4, Failed: 3}}}, 0)
		require.Len(t, f.homes[0].Judge(1, 0), test.ejected, "%d own sends", test.own)
	}
}

// A reporter with many successful attempts does not outweigh many reporters that see a server fail.
func TestOneReporterDoesNotHideWhatOthersSee(t *testing.T) {
	f := newTestFleet(9, 1, 1, 4)
	f.homes[0].ApplyReport("heavy", Report{Servers: []string{"s01"}, Sent: []uint16{200}, Failed: []uint16{0}}, 0)
	for i := range 5 {
		f.homes[0].ApplyReport(fmt.Sprint("light ", i), Report{Servers: []string{"s01"}, Sent: []uint16{4}, Failed: []uint16{3}}, 0)
	}
	require.Len(t, f.homes[0].Judge(1, 0), 1)
}

// Whatever is reported, at least half of a service's servers are not ejected. If all servers fail alike, none is ejected.
func TestAServiceIsNeverEmptied(t *testing.T) {
	f := newTestFleet(4, 3, 20, 6)
	f.failureProbability = func(string, int) float64 { return 0.5 }
	f.run(400, 10*time.Second)
	for i := range f.homes {
		require.Empty(t, f.ejected[i])
	}
	f.failureProbability = func(id string, _ int) float64 {
		if id < "s03" {
			return 0.9
		}
		return 0
	}
	f.run(400, 20*time.Second)
	for i := range f.homes {
		require.Len(t, f.ejected[i], 3)
	}
	f.failureProbability = func(id string, _ int) float64 {
		if id < "s05" {
			return 0.9
		}
		return 0
	}
	f.run(400, 10*time.Second)
	for i := range f.homes {
		require.LessOrEqual(t, len(f.ejected[i]), 3)
	}
	f = newTestFleet(4, 6, 36, 6)
	f.failureProbability = func(_ string, router int) float64 { // all servers fail for the callers of one zone
		if router%6 == 0 {
			return 0.9
		}
		return 0
	}
	f.run(400, 10*time.Second)
	require.Len(t, f.ejected[0], 3)
}

// A faulty or partitioned router that reports all servers as failing causes no ejection, however many attempts it
// reports.
func TestAFaultyReporterDoesNoHarm(t *testing.T) {
	f := newTestFleet(5, 3, 12, 8)
	f.failureProbability = func(_ string, router int) float64 {
		if router == 7 {
			return 1
		}
		return 0.004
	}
	f.run(300, 20*time.Second)
	for i := range f.homes {
		require.Empty(t, f.ejected[i])
	}
	d := NewDetector(f)
	d.ApplyReport("faulty", Report{Servers: []string{"s01", "no such server", "s02"}, Sent: []uint16{60000, 1}, Failed: []uint16{65000, 1, 1}}, 0)
	d.ApplyReport("other", Report{Servers: []string{"s01", "s02", "s03"}, Sent: []uint16{30, 30, 30}, Failed: []uint16{0, 0, 0}}, 0)
	require.Empty(t, d.Judge(1, 0))
}

// A server that fails again soon after an ejection is ejected for longer; one that fails again much later is not.
func TestRepeatedEjectionsLastLonger(t *testing.T) {
	var e ejection
	now := time.Minute
	for _, want := range []time.Duration{initialEjection, 2 * initialEjection, maxEjection, maxEjection} {
		e.begin(now)
		require.Equal(t, now+want, e.earliestEnd)
		now = e.earliestEnd
		e.reviewTrials(true, now)
		require.True(t, e.active, "trials fail")
		now += ejectionExtension
		e.reviewTrials(false, now)
		require.False(t, e.active)
		now += time.Second
	}
	now += 2 * repetitionWindow
	e.begin(now)
	require.Equal(t, now+initialEjection, e.earliestEnd)
}

// Evidence that is not renewed is removed, and so is the evidence on servers that no longer exist.
func TestOldEvidenceIsDropped(t *testing.T) {
	f := newTestFleet(6, 2, 10, 5)
	f.failOnly("s01", 0.8)
	f.run(200, 5*time.Second)
	require.NotEmpty(t, f.homes[0].servers)
	delete(f.servers, "s01")
	f.homes[0].Judge(1, f.now)
	require.NotContains(t, f.homes[0].servers, "s01")
	f.homes[0].Judge(1, f.now+time.Minute)
	require.Empty(t, f.homes[0].servers)
	require.Empty(t, f.homes[0].traffic)
}

// Once a server has recovered, the homes stop sending sums for it, although they also send sums in answer to each
// other's.
func TestSuspicionEnds(t *testing.T) {
	f := newTestFleet(7, 3, 12, 6)
	f.failOnly("s01", 0.8)
	f.run(300, 3*time.Second)
	require.NotEmpty(t, f.homes[0].Sums(f.now))
	f.failureProbability = func(string, int) float64 { return 0 }
	f.run(300, 20*time.Second)
	for _, home := range f.homes {
		require.Empty(t, home.Sums(f.now))
	}
}

// An operator's override prevents an ejection for the given time, whatever the evidence is. Explain lists the findings.
func TestAnOperatorAdmitsAServer(t *testing.T) {
	f := newTestFleet(8, 1, 10, 5)
	f.failureProbability = func(id string, _ int) float64 {
		if id == "s01" {
			return 0.9
		}
		return 0
	}
	f.run(200, 5*time.Second)
	require.Contains(t, f.ejected[0], "s01")
	findings := f.homes[0].Explain(f.now)
	require.Len(t, findings, 1)
	require.Equal(t, "s01", findings[0].Server)
	require.True(t, findings[0].Ejected)
	require.Greater(t, findings[0].Own.failureRatio(), 0.5)
	require.False(t, f.homes[0].Admit("unknown", time.Minute, f.now))
	require.True(t, f.homes[0].Admit("s01", 10*time.Second, f.now))
	f.run(200, 9*time.Second)
	require.NotContains(t, f.ejected[0], "s01")
	require.Positive(t, f.homes[0].Explain(f.now)[0].AdmissionRemaining)
	f.run(200, 3*time.Second)
	require.Contains(t, f.ejected[0], "s01")
}

func TestAReportIsDueAtOnceAfterAFailure(t *testing.T) {
	tally := NewTally()
	_, ok := tally.Take(time.Minute)
	require.False(t, ok)
	tally.Add("a", false)
	_, ok = tally.Take(time.Minute)
	require.True(t, ok)
	tally.Add("a", false)
	_, ok = tally.Take(time.Minute + reportInterval - 1)
	require.False(t, ok)
	tally.Add("a", true)
	r, ok := tally.Take(time.Minute + reportInterval - 1)
	require.True(t, ok)
	require.Equal(t, Report{Servers: []string{"a"}, Sent: []uint16{2}, Failed: []uint16{1}}, r)
	for i := range 2 * maxReportServers {
		tally.Add(fmt.Sprint(i), false)
	}
	r, _ = tally.Take(time.Hour)
	require.Len(t, r.Servers, maxReportServers)
}
