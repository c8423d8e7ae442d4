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

// playLimit has sidecars ask for many times a tenant's limit while primaries change, restart and fall silent, and returns
// what was let through.
func playLimit(seed int64, limit Limit, fleet int, units float64) []spent {
	random := rand.New(rand.NewSource(seed))
	limits := map[string]Limit{"t": limit}
	takers := make([]*Taker, fleet)
	cutUntil := make([]time.Duration, fleet)
	for i := range takers {
		takers[i] = NewTaker()
		takers[i].SetLimits(limits, 0)
	}
	reservoir, allocator := NewReservoir(bounds, true, 0), NewAllocator(0)
	reservoir.SetLimits(limits)
	silentUntil, nextFault := time.Duration(0), 9*time.Second
	var all []spent
	for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
		if now >= nextFault { // one fault in a window: a primary is lost, or sidecars are cut off from it
			nextFault = now + 8*time.Second + time.Duration(random.Intn(4000))*time.Millisecond
			if random.Intn(2) == 0 {
				silentUntil = now + time.Duration(600+random.Intn(900))*time.Millisecond
				reservoir, allocator = NewReservoir(bounds, random.Intn(3) == 0, silentUntil), NewAllocator(silentUntil)
				reservoir.SetLimits(limits)
			} else {
				for i := range fleet * 3 / 10 {
					cutUntil[(i+random.Intn(fleet))%fleet] = now + 5*time.Second
				}
			}
		}
		for i, taker := range takers {
			reaches := now >= silentUntil && now >= cutUntil[i]
			if reaches && now%(500*time.Millisecond) == time.Duration(i)*10*time.Millisecond {
				nonce, demand, held := taker.Ask(now)
				taker.Granted(nonce, allocator.Ask(fmt.Sprint(i), 1, demand, held, fleet, now), now)
			}
			if random.Float64() > 6*limit.Rate/float64(fleet)/units/100 { // six times the rate
				continue
			}
			v, extra := taker.Take("t", units, now)
			if v == Draw && reaches {
				given, _ := reservoir.Draw("t", units, extra, now)
				v = taker.Drawn("t", given, units, now)
			} else if v == Draw {
				v, _ = taker.TakeLeased("t", units, now)
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
		worst := 0.0
		for seed := range int64(150) {
			used := largest(playLimit(seed, limit, 11, 9_250), bounds.Window) / bound
			worst = max(worst, used)
			require.LessOrEqual(t, used, 1.0, "%s, seed %d", name, seed)
		}
		t.Logf("%s: at most %.3f of the bound", name, worst)
		require.Greater(t, worst, 0.7, "the limit is used")
	}
}
