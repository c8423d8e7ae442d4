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

// fleet is some sidecars, each with a home, and servers that fail parts of what they are sent, in virtual time.
type fleet struct {
	random  *rand.Rand
	homes   []*Detector
	tallies []*Tally // sidecar i has home i mod len(homes)
	servers map[string]string
	fails   func(server string, sidecar int) float64 // probability
	ejected []map[string]float64                     // by home
	now     time.Duration
	sent    map[string]int
	failed  map[string]int
}

// ServiceOf implements Services.
func (f *fleet) ServiceOf(id string) string { return f.servers[id] }

// UsableServers implements Services.
func (f *fleet) UsableServers(service string) int {
	n := 0
	for _, s := range f.servers {
		if s == service {
			n++
		}
	}
	return n
}

func newFleet(seed uint64, homes, sidecars, servers int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), servers: map[string]string{}, sent: map[string]int{}, failed: map[string]int{},
		fails: func(string, int) float64 { return 0 }}
	for i := range servers {
		f.servers[name(i)] = "s"
	}
	for range homes {
		f.homes = append(f.homes, NewDetector(f))
		f.ejected = append(f.ejected, map[string]float64{})
	}
	for range sidecars {
		f.tallies = append(f.tallies, NewTally())
	}
	return f
}

func name(i int) string { return fmt.Sprintf("s%02d", i) }

// pick is what a sidecar does: a trial, or any server that is not ejected.
func (f *fleet) pick(home int) string {
	for _, id := range slices.Sorted(maps.Keys(f.ejected[home])) {
		if f.random.Float64() < f.ejected[home][id] {
			return id
		}
	}
	everywhere := len(f.ejected[home]) == len(f.servers)
	for {
		if id := name(f.random.IntN(len(f.servers))); everywhere || f.ejected[home][id] == 0 {
			return id
		}
	}
}

// play lets a time pass with requests at a rate, of all sidecars together.
func (f *fleet) play(rate float64, span time.Duration) {
	const step = 100 * time.Millisecond
	for end := f.now + span; f.now < end; f.now += step {
		for range int(rate*step.Seconds() + f.random.Float64()) {
			sidecar := f.random.IntN(len(f.tallies))
			id := f.pick(sidecar % len(f.homes))
			failed := f.random.Float64() < f.fails(id, sidecar)
			f.tallies[sidecar].Add(id, failed)
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

func (f *fleet) only(server string, ratio float64) {
	f.fails = func(id string, _ int) float64 {
		if id == server {
			return ratio
		}
		return 0.004
	}
}

// The fleets of the tables: the small deployments and the grown ones.
var fleets = map[string]struct{ homes, sidecars, servers, rate int }{
	"11 sidecars, 14 servers": {4, 11, 14, 250},
	"9 sidecars, 3 servers":   {3, 9, 3, 60},
	"92 sidecars, 44 servers": {5, 92, 44, 770},
	"72 sidecars, 4 servers":  {6, 72, 4, 200},
}

// A server that fails part of what it is sent is left alone within seconds, however little each sidecar sends; what it still gets
// are trials, few for all together; and it is back some seconds after it is well.
func TestAServerThatFailsInPart(t *testing.T) {
	for title, size := range fleets {
		for _, ratio := range []float64{0.3, 0.5, 1} {
			f := newFleet(1, size.homes, size.sidecars, size.servers)
			f.play(float64(size.rate), 5*time.Second)
			for i := range f.homes {
				require.Empty(t, f.ejected[i], title)
			}
			f.only("s01", ratio)
			f.play(float64(size.rate), 3*time.Second)
			for i := range f.homes {
				require.Contains(t, f.ejected[i], "s01", "%s, %.1f", title, ratio)
			}
			before := f.sent["s01"]
			f.play(float64(size.rate), 10*time.Second)
			trials := float64(f.sent["s01"]-before) / 10
			require.LessOrEqual(t, trials, 2*trialsPerS, "%s, %.1f: trials a second", title, ratio)
			require.Positive(t, trials)
			f.only("", 0)
			f.play(float64(size.rate), 15*time.Second)
			for i := range f.homes {
				require.Empty(t, f.ejected[i], title)
			}
		}
	}
}

// What evidence of the fleet is worth beside each sidecar's own, which for a server that fails a part never sees three errors in a
// row before a success: sends that fail in ten seconds.
func TestSharedEvidenceBesideNone(t *testing.T) {
	for title, size := range fleets {
		f := newFleet(2, size.homes, size.sidecars, size.servers)
		f.only("s01", 0.4)
		f.play(float64(size.rate), 10*time.Second)
		alone := 0.4 * float64(size.rate) / float64(size.servers) * 10
		t.Logf("%s: %d failed, about %.0f without a word of others", title, f.failed["s01"], alone)
		require.Less(t, float64(f.failed["s01"]), 0.7*alone, title)
	}
}

// A server that fails for the callers of one zone alone is left alone there, and serves the others at all times.
func TestAServerThatFailsForOneZone(t *testing.T) {
	for _, ratio := range []float64{0.6, 1} {
		f := newFleet(3, 4, 40, 12)
		f.play(400, 3*time.Second)
		f.fails = func(id string, sidecar int) float64 {
			if id == "s01" && sidecar%4 == 2 {
				return ratio
			}
			return 0
		}
		for range 50 {
			f.play(400, 100*time.Millisecond)
			for _, home := range []int{0, 1, 3} {
				require.NotContains(t, f.ejected[home], "s01")
			}
		}
		require.Contains(t, f.ejected[2], "s01")
	}
}

// What the fleet tells of a server is believed unless the own subscribers sent it enough to know better.
func TestOwnEvidenceGoesBeforeTheFleets(t *testing.T) {
	for _, one := range []struct {
		own     uint16 // sends of the own subscribers, all of which succeeded
		ejected int
	}{{2, 1}, {ownEnough + 2, 0}} {
		f := newFleet(9, 1, 1, 4)
		f.homes[0].ApplyReport("own", Report{Servers: []string{"s01"}, Sent: []uint16{one.own / 2}, Failed: []uint16{0}}, 0)
		f.homes[0].ApplyReport("another", Report{Servers: []string{"s01"}, Sent: []uint16{one.own / 2}, Failed: []uint16{0}}, 0)
		f.homes[0].ApplyPeerSums("peer", []Sum{{Server: "s01", All: Count{Sent: 40, Failed: 30}, Worst: Count{Sent: 4, Failed: 3}}}, 0)
		require.Len(t, f.homes[0].Judge(1, 0), one.ejected, "%d own sends", one.own)
	}
}

// A teller that sends much and sees a server well does not outweigh many that see it fail.
func TestOneTellerDoesNotHideWhatOthersSee(t *testing.T) {
	f := newFleet(9, 1, 1, 4)
	f.homes[0].ApplyReport("much", Report{Servers: []string{"s01"}, Sent: []uint16{200}, Failed: []uint16{0}}, 0)
	for i := range 5 {
		f.homes[0].ApplyReport(fmt.Sprint("little ", i), Report{Servers: []string{"s01"}, Sent: []uint16{4}, Failed: []uint16{3}}, 0)
	}
	require.Len(t, f.homes[0].Judge(1, 0), 1)
}

// Whatever is told, half of a service's servers stay; where all fail alike nobody is left alone.
func TestAServiceIsNeverEmptied(t *testing.T) {
	f := newFleet(4, 3, 20, 6)
	f.fails = func(string, int) float64 { return 0.5 }
	f.play(400, 10*time.Second)
	for i := range f.homes {
		require.Empty(t, f.ejected[i])
	}
	f.fails = func(id string, _ int) float64 {
		if id < "s03" {
			return 0.9
		}
		return 0
	}
	f.play(400, 20*time.Second)
	for i := range f.homes {
		require.Len(t, f.ejected[i], 3)
	}
	f.fails = func(id string, _ int) float64 {
		if id < "s05" {
			return 0.9
		}
		return 0
	}
	f.play(400, 10*time.Second)
	for i := range f.homes {
		require.LessOrEqual(t, len(f.ejected[i]), 3)
	}
	f = newFleet(4, 6, 36, 6)
	f.fails = func(_ string, sidecar int) float64 { // all of them, for the callers of one zone
		if sidecar%6 == 0 {
			return 0.9
		}
		return 0
	}
	f.play(400, 10*time.Second)
	require.Len(t, f.ejected[0], 3)
}

// A sidecar that is confused, or cut off, and calls every server bad does no harm to the others, however much it tells.
func TestAConfusedTellerDoesNoHarm(t *testing.T) {
	f := newFleet(5, 3, 12, 8)
	f.fails = func(_ string, sidecar int) float64 {
		if sidecar == 7 {
			return 1
		}
		return 0.004
	}
	f.play(300, 20*time.Second)
	for i := range f.homes {
		require.Empty(t, f.ejected[i])
	}
	d := NewDetector(f)
	d.ApplyReport("confused", Report{Servers: []string{"s01", "no such server", "s02"}, Sent: []uint16{60000, 1}, Failed: []uint16{65000, 1, 1}}, 0)
	d.ApplyReport("other", Report{Servers: []string{"s01", "s02", "s03"}, Sent: []uint16{30, 30, 30}, Failed: []uint16{0, 0, 0}}, 0)
	require.Empty(t, d.Judge(1, 0))
}

// A server that fails again soon after it was back is left alone for longer; one that does so much later is not.
func TestEjectionsThatFollowOneAnotherLastLonger(t *testing.T) {
	var e ejection
	now := time.Minute
	for _, want := range []time.Duration{ejectFirst, 2 * ejectFirst, ejectMost, ejectMost} {
		e.begin(now)
		require.Equal(t, now+want, e.until)
		now = e.until
		e.review(true, now)
		require.True(t, e.active, "trials fail")
		now += ejectAgain
		e.review(false, now)
		require.False(t, e.active)
		now += time.Second
	}
	now += 2 * soon
	e.begin(now)
	require.Equal(t, now+ejectFirst, e.until)
}

// What is not spoken of any more is forgotten, also what was told of servers that have ended.
func TestADetectorForgets(t *testing.T) {
	f := newFleet(6, 2, 10, 5)
	f.only("s01", 0.8)
	f.play(200, 5*time.Second)
	require.NotEmpty(t, f.homes[0].servers)
	delete(f.servers, "s01")
	f.homes[0].Judge(1, f.now)
	require.NotContains(t, f.homes[0].servers, "s01")
	f.homes[0].Judge(1, f.now+time.Minute)
	require.Empty(t, f.homes[0].servers)
	require.Empty(t, f.homes[0].traffic)
}

// Homes that answer one another's doubt end it together: a server that is well is not spoken of any more.
func TestDoubtEnds(t *testing.T) {
	f := newFleet(7, 3, 12, 6)
	f.only("s01", 0.8)
	f.play(300, 3*time.Second)
	require.NotEmpty(t, f.homes[0].Sums(f.now))
	f.fails = func(string, int) float64 { return 0 }
	f.play(300, 20*time.Second)
	for _, home := range f.homes {
		require.Empty(t, home.Sums(f.now))
	}
}

// An operator's word goes before the evidence, for as long as it says, and what is believed can be asked.
func TestAnOperatorAdmitsAServer(t *testing.T) {
	f := newFleet(8, 1, 10, 5)
	f.fails = func(id string, _ int) float64 {
		if id == "s01" {
			return 0.9
		}
		return 0
	}
	f.play(200, 5*time.Second)
	require.Contains(t, f.ejected[0], "s01")
	found := f.homes[0].Explain(f.now)
	require.Len(t, found, 1)
	require.Equal(t, "s01", found[0].Server)
	require.True(t, found[0].Ejected)
	require.Greater(t, found[0].Own.ratio(), 0.5)
	require.False(t, f.homes[0].Admit("unknown", time.Minute, f.now))
	require.True(t, f.homes[0].Admit("s01", 10*time.Second, f.now))
	f.play(200, 9*time.Second)
	require.NotContains(t, f.ejected[0], "s01")
	require.Positive(t, f.homes[0].Explain(f.now)[0].Admitted)
	f.play(200, 3*time.Second)
	require.Contains(t, f.ejected[0], "s01")
}

func TestATallyIsTakenAtOnceAfterAFailure(t *testing.T) {
	tally := NewTally()
	_, ok := tally.Take(time.Minute)
	require.False(t, ok)
	tally.Add("a", false)
	_, ok = tally.Take(time.Minute)
	require.True(t, ok)
	tally.Add("a", false)
	_, ok = tally.Take(time.Minute + reportEvery - 1)
	require.False(t, ok)
	tally.Add("a", true)
	r, ok := tally.Take(time.Minute + reportEvery - 1)
	require.True(t, ok)
	require.Equal(t, Report{Servers: []string{"a"}, Sent: []uint16{2}, Failed: []uint16{1}}, r)
	for i := range 2 * reportMost {
		tally.Add(fmt.Sprint(i), false)
	}
	r, _ = tally.Take(time.Hour)
	require.Len(t, r.Servers, reportMost)
}
