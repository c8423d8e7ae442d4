package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A history keeps what was spent for the window, by slots, and forgets it.
func TestHistory(t *testing.T) {
	const slot = 500 * time.Millisecond
	require.Equal(t, slot, slotOf(8*time.Second))
	var s spending
	s.add(5, slot, 0)
	s.add(7, slot, slot)
	require.Equal(t, 12.0, s.slots.sum())
	require.Equal(t, [2]float64{7, 5}, [2]float64(s.slots[:2]))
	s.roll(slot, historySlots*slot)
	require.Equal(t, 7.0, s.slots.sum())
	s.roll(slot, time.Hour)
	require.Zero(t, s.slots.sum())

	h := History{0: 30, 2: 30}
	require.Equal(t, 10.0, h.level(50, 10), "50, less 30, two refills of 10, less 30")
}

// A new primary grants nothing until it has heard what was spent before, and then what the one before would have.
func TestANewPrimaryLearnsWhatWasSpent(t *testing.T) {
	limits := map[string]Limit{"t": {Rate: 1000, Burst: 1000}}
	before := NewTokenBuckets(bounds, false, 0)
	before.bounds.Slack = 0
	before.SetLimits(limits)
	client := NewClient(bounds.Window)
	client.SetLimits(limits, 0)
	now := 10 * time.Second
	spend := func(from *TokenBuckets) (units float64) {
		for {
			given, _ := from.Acquire("t", 10, 0, now)
			if client.Acquired("t", given, 10, now) != Granted {
				return units
			}
			units += given
		}
	}
	require.True(t, before.Ready(0, now))
	require.Equal(t, 1000.0, spend(before), "the whole burst")
	now += time.Second
	require.InDelta(t, 1000, spend(before), 10)

	next := NewTokenBuckets(before.bounds, false, now)
	next.SetLimits(limits)
	require.False(t, next.Ready(5, now))
	next.Learn("a", client.Histories(now), now)
	next.Learn("a", client.Histories(now), now)
	require.False(t, next.Ready(5, now))
	for _, other := range []string{"b", "c", "d", "e"} {
		next.Learn(other, nil, now)
	}
	require.True(t, next.Ready(5, now))
	require.Zero(t, spend(next))
	now += 500 * time.Millisecond
	require.InDelta(t, 500, spend(next), 20)

	late := NewTokenBuckets(before.bounds, false, now)
	late.SetLimits(limits)
	require.False(t, late.Ready(5, now+claims-1))
	require.True(t, late.Ready(5, now+claims), "it does not wait for ever")
}

// In no window more is granted than the rule leaves beside what sidecars that are cut off may spend, however a tenant rests and bursts.
func TestTheWindowIsGuarded(t *testing.T) {
	b := NewTokenBuckets(bounds, false, 0)
	limit := Limit{Rate: 10_000, Burst: 40_000} // a burst of four times the rate
	b.SetLimits(map[string]Limit{"t": limit})
	b.bounds.Slack = 0
	var all []spent
	for now := time.Duration(0); now < 40*time.Second; now += 10 * time.Millisecond {
		if now/time.Second%6 < 4 {
			if given, _ := b.Acquire("t", 500, 0, now); given > 0 {
				all = append(all, spent{now, given})
			}
		}
	}
	most := largest(all, bounds.Window)
	require.LessOrEqual(t, most, b.guard(limit))
	require.Greater(t, most, 0.9*b.guard(limit))
}

// A sidecar tells a new primary of the tenants of which it sees something, and not of thousands that it hardly sees.
func TestWhatANewPrimaryIsTold(t *testing.T) {
	limits := map[string]Limit{"large": {Rate: 1000, Burst: 1000}, "hardly": {Rate: 1000, Burst: 1000}, "unseen": {Rate: 1000}}
	client := NewClient(bounds.Window)
	client.SetLimits(limits, 0)
	client.SetFleet(10)
	client.Acquired("large", 500, 500, 0)
	client.Acquired("hardly", 20, 20, 0)
	told := client.Histories(0)
	require.Len(t, told, 1)
	require.Equal(t, 500.0, told["large"][0])
}
