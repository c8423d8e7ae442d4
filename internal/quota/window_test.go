package quota

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// spent is one request that was let through.
type spent struct {
	at    time.Duration
	units float64
}

// playLimit has sidecars, some of which see more of a tenant than others, ask for nothing, for less than its limit and for many times
// as much by turns, while primaries change, restart and fall silent, and returns what was let through. With pools, those that hear no
// primary put what they have together at one of a few, some of which fail.
func playLimit(seed int64, limit Limit, fleet int, units float64, pools int) []spent {
	random := rand.New(rand.NewSource(seed))
	limits := map[string]Limit{"t": limit}
	clients := make([]*Client, fleet)
	cutUntil := make([]time.Duration, fleet)
	for i := range clients {
		clients[i] = NewClient()
		clients[i].SetLimits(limits, 0)
		clients[i].SetFleet(fleet)
	}
	buckets, allocator := NewTokenBuckets(bounds, true, 0), NewAllocator(0)
	buckets.SetLimits(limits)
	pooled := newPooledClients(random, clients, limits, pools)
	silentUntil, nextFault := time.Duration(0), 9*time.Second
	var all []spent
	pressure, nextPressure := 6.0, 10*time.Second // times the rate
	for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
		if now >= nextPressure {
			pressure = []float64{0, 0.7, 6}[random.Intn(3)]
			nextPressure = now + time.Duration(2+random.Intn(8))*time.Second
		}
		if now >= nextFault { // one fault in a window: a primary is lost, or sidecars are cut off from it
			nextFault = now + 8*time.Second + time.Duration(random.Intn(4000))*time.Millisecond
			switch random.Intn(4) {
			case 0: // nobody leads for long
				silentUntil = now + time.Duration(3000+random.Intn(9000))*time.Millisecond
				nextFault += silentUntil - now
				buckets, allocator = NewTokenBuckets(bounds, random.Intn(3) == 0, silentUntil), NewAllocator(silentUntil)
				buckets.SetLimits(limits)
			case 1: // a primary is lost, and some cannot reach the next one for a while
				silentUntil = now + time.Duration(600+random.Intn(900))*time.Millisecond
				for range fleet / 5 {
					cutUntil[random.Intn(fleet)] = silentUntil + 2*time.Second
				}
				buckets, allocator = NewTokenBuckets(bounds, random.Intn(3) == 0, silentUntil), NewAllocator(silentUntil)
				buckets.SetLimits(limits)
			case 2: // some are cut off for longer than a lease
				span := time.Duration(6+random.Intn(6)) * time.Second
				nextFault += span
				for i := range fleet * 3 / 10 {
					cutUntil[(i+random.Intn(fleet))%fleet] = now + span
				}
			default:
				for i := range fleet * 3 / 10 {
					cutUntil[(i+random.Intn(fleet))%fleet] = now + 5*time.Second
				}
			}
		}
		if now >= silentUntil && now%(500*time.Millisecond) == 0 {
			reserve := Reserve(fleet, allocator.Heard(now), allocator.Term(now))
			buckets.SetReserve(reserve)
			allocator.SetReserve(reserve)
		}
		for i, client := range clients {
			reaches := now >= silentUntil && now >= cutUntil[i]
			if reaches && now%(500*time.Millisecond) == time.Duration(i)*10*time.Millisecond {
				nonce, demand, held := client.Ask(now)
				client.Granted(nonce, allocator.Ask(fmt.Sprint(i), 1, demand, held, fleet, now), now)
			}
			pooled.tick(i, reaches, now)
			weight := 2 * float64(1+i%4) / 5
			if random.Float64() > pressure*weight*limit.Rate/float64(fleet)/units/100 {
				continue
			}
			v, extra := client.Take("t", units, now)
			if v == AskPrimary && reaches {
				given, _ := buckets.Acquire("t", units, extra, now)
				v = client.Acquired("t", given, units, now)
			} else if v == AskPrimary {
				v = pooled.take(i, units, now)
			}
			if v == Granted {
				all = append(all, spent{now, units})
			}
		}
	}
	return all
}

// largest is the most that was let through in any window.
func largest(all []spent, window time.Duration) (most float64) {
	sum, first := 0.0, 0
	for _, s := range all {
		sum += s.units
		for s.at-all[first].at > window {
			sum -= all[first].units
			first++
		}
		most = max(most, sum)
	}
	return most
}

// However primaries change and whoever is cut off, all sidecars together stay within the rule's bound.
func TestTheLimitHolds(t *testing.T) {
	for name, limit := range map[string]Limit{
		"large tenant": {Rate: 640_000, Burst: 640_000},
		"small tenant": {Rate: 29_000, Burst: 29_000},
	} {
		bound := (limit.Rate*bounds.Window.Seconds()+limit.Burst)*(1+bounds.Overshoot) + bounds.Slack
		for _, pools := range []int{0, 3} {
			worst := 0.0
			for seed := range int64(150) {
				used := largest(playLimit(seed, limit, 11, 9_250, pools), bounds.Window) / bound
				worst = max(worst, used)
				require.LessOrEqual(t, used, 1.0, "%s, %d pools, seed %d", name, pools, seed)
			}
			t.Logf("%s, %d pools: at most %.3f of the bound", name, pools, worst)
			require.Greater(t, worst, 0.7, "the limit is used")
		}
	}
}

// While nobody leads for longer than a lease lasts, the sidecars go on with most of the limit, together never more than it; a sidecar
// that was never told how many there are has nothing.
func TestNobodyLeadsForLong(t *testing.T) {
	limits := map[string]Limit{"t": {Rate: 100_000, Burst: 100_000}}
	const fleet, units = 11, 500
	clients := make([]*Client, fleet)
	a := NewAllocator(0)
	start := 2 * claims
	for range 10 { // demand is smoothed: it takes some questions to be seen
		start += 500 * time.Millisecond
		for i := range clients {
			if clients[i] == nil {
				clients[i] = NewClient()
				clients[i].SetLimits(limits, 0)
				clients[i].SetFleet(fleet)
			}
			for range 20 + i {
				clients[i].Take("t", units, start)
			}
			nonce, demand, held := clients[i].Ask(start)
			clients[i].Granted(nonce, a.Ask(fmt.Sprint(i), 1, demand, held, fleet, start), start)
		}
	}
	spent := func(from, to time.Duration) (rate float64) {
		for now := from; now < to; now += 20 * time.Millisecond {
			for _, client := range clients {
				if v, _ := client.TakeLeased("t", units, now); v == Granted {
					rate += units
				}
			}
		}
		return rate / (to - from).Seconds()
	}
	spent(start, start+Lease)
	standing := spent(start+Lease, start+Lease+standingFor)
	require.InDelta(t, standingPart*100_000, standing, 10_000)
	later := spent(start+Lease+standingFor+time.Second, start+Lease+2*standingFor)
	require.InDelta(t, standingPart*standingLater*100_000, later, 5_000)

	alone := NewClient()
	alone.SetLimits(limits, 0)
	v, _ := alone.TakeLeased("t", 1, time.Hour)
	require.Equal(t, Refused, v)
}

// A primary leaves room for sidecars that it does not hear, once their leases have ended, and none where it hears all.
func TestReserve(t *testing.T) {
	require.Zero(t, Reserve(11, 11, time.Hour))
	require.Zero(t, Reserve(11, 12, time.Hour))
	require.Zero(t, Reserve(0, 0, time.Hour))
	require.Zero(t, Reserve(11, 8, Lease), "leases of the term before count otherwise")
	require.InDelta(t, standingPart*3/11, Reserve(11, 8, time.Hour), 1e-9)
	a := NewAllocator(0)
	for i := range 5 {
		a.Ask(fmt.Sprint(i), 1, nil, nil, 8, time.Duration(i)*time.Second)
	}
	require.Equal(t, 3, a.Heard(4*time.Second+100*time.Millisecond))
	b := NewTokenBuckets(bounds, true, 0)
	b.SetLimits(map[string]Limit{"t": {Rate: 100_000, Burst: 100_000}})
	b.SetReserve(0.2)
	taken := 0.0
	for now := 10 * time.Second; now < 20*time.Second; now += time.Millisecond {
		given, _ := b.Acquire("t", 1000, 0, now)
		taken += given
	}
	require.InDelta(t, 800_000, taken, 150_000)
}
