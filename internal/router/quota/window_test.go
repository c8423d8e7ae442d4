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

// limitPlay has sidecars, some of which see more of a tenant than others, ask for nothing, for less than its limit and for many times
// as much by turns, while primaries change, restart and fall silent. With pools, those that hear no primary put what they have together at
// one of a few, some of which fail.
type limitPlay struct {
	random *rand.Rand
	limits map[string]Limit
	units  float64 // of a request

	clients      []*Client
	cutUntil     []time.Duration // until when a client does not reach the primary
	pooled       *pooledClients
	buckets      *TokenBuckets
	allocator    *Allocator
	silentUntil  time.Duration
	nextFault    time.Duration
	pressure     float64 // times the rate
	nextPressure time.Duration
	spent        []spent
}

const (
	playStep = 10 * time.Millisecond
	playSpan = time.Minute
	askEvery = 500 * time.Millisecond
)

// playLimit plays a minute and returns what was let through.
func playLimit(seed int64, limit Limit, fleet int, units float64, pools int) []spent {
	p := &limitPlay{random: rand.New(rand.NewSource(seed)), limits: map[string]Limit{"t": limit}, units: units,
		cutUntil: make([]time.Duration, fleet), nextFault: 9 * time.Second, pressure: 6, nextPressure: 10 * time.Second}
	for range fleet {
		client := NewClient(1)
		client.SetLimits(p.limits, 0)
		client.SetFleetSize(fleet)
		p.clients = append(p.clients, client)
	}
	p.lead(true, 0)
	p.pooled = newPooledClients(p.random, p.clients, p.limits, pools)
	for now := time.Duration(0); now < playSpan; now += playStep {
		p.step(now)
	}
	return p.spent
}

// lead begins a primary's term.
func (p *limitPlay) lead(started bool, at time.Duration) {
	p.buckets, p.allocator = NewTokenBuckets(bounds, started, at), NewAllocator(at)
	p.buckets.SetLimits(p.limits)
}

func (p *limitPlay) step(now time.Duration) {
	if now >= p.nextPressure {
		p.pressure = []float64{0, 0.7, 6}[p.random.Intn(3)]
		p.nextPressure = now + time.Duration(2+p.random.Intn(8))*time.Second
	}
	if now >= p.nextFault { // one fault in a window: a primary is lost, or sidecars are cut off from it
		p.nextFault = now + 8*time.Second + time.Duration(p.random.Intn(4000))*time.Millisecond
		p.strike(now)
	}
	if now >= p.silentUntil && now%askEvery == 0 {
		reserve := ReservedFraction(len(p.clients), p.allocator.ActiveClients(now), p.allocator.TermAge(now))
		p.buckets.SetReserve(reserve)
		p.allocator.SetReserve(reserve)
	}
	for i := range p.clients {
		reaches := now >= p.silentUntil && now >= p.cutUntil[i]
		if reaches && now%askEvery == time.Duration(i)*playStep {
			p.ask(i, now)
		}
		p.pooled.tick(i, reaches, now)
		p.request(i, reaches, now)
	}
}

// strike has one fault begin.
func (p *limitPlay) strike(now time.Duration) {
	fleet := len(p.clients)
	switch p.random.Intn(4) {
	case 0: // nobody leads for long
		p.silentUntil = now + time.Duration(3000+p.random.Intn(9000))*time.Millisecond
		p.nextFault += p.silentUntil - now
		p.lead(p.random.Intn(3) == 0, p.silentUntil)
	case 1: // a primary is lost, and some cannot reach the next one for a while
		p.silentUntil = now + time.Duration(600+p.random.Intn(900))*time.Millisecond
		for range fleet / 5 {
			p.cutUntil[p.random.Intn(fleet)] = p.silentUntil + 2*time.Second
		}
		p.lead(p.random.Intn(3) == 0, p.silentUntil)
	case 2: // some are cut off for longer than a lease
		span := time.Duration(6+p.random.Intn(6)) * time.Second
		p.nextFault += span
		p.cutSome(now + span)
	default:
		p.cutSome(now + 5*time.Second)
	}
}

// cutSome cuts three tenths of the sidecars off from the primary.
func (p *limitPlay) cutSome(until time.Duration) {
	fleet := len(p.clients)
	for i := range fleet * 3 / 10 {
		p.cutUntil[(i+p.random.Intn(fleet))%fleet] = until
	}
}

func (p *limitPlay) ask(i int, now time.Duration) {
	client := p.clients[i]
	nonce, demand, held := client.RequestShares(now)
	client.ApplyShares(nonce, p.allocator.Allocate(fmt.Sprint(i), 1, demand, held, len(p.clients), now), now)
}

// request has a sidecar see a request of the tenant, with the probability that its load comes to.
func (p *limitPlay) request(i int, reaches bool, now time.Duration) {
	weight := 2 * float64(1+i%4) / 5
	load := p.pressure * weight * p.limits["t"].Rate / float64(len(p.clients))
	if p.random.Float64() > load/p.units*playStep.Seconds() {
		return
	}
	client := p.clients[i]
	v, extra := client.Reserve("t", p.units, now)
	if v == NeedsPrimary && reaches {
		given, _ := p.buckets.Acquire("t", p.units, extra, now)
		v = client.ApplyAcquired("t", given, p.units, now)
	} else if v == NeedsPrimary {
		v = p.pooled.take(i, p.units, now)
	}
	if v == Granted {
		p.spent = append(p.spent, spent{now, p.units})
	}
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
				clients[i] = NewClient(1)
				clients[i].SetLimits(limits, 0)
				clients[i].SetFleetSize(fleet)
			}
			for range 20 + i {
				clients[i].Reserve("t", units, start)
			}
			nonce, demand, held := clients[i].RequestShares(start)
			clients[i].ApplyShares(nonce, a.Allocate(fmt.Sprint(i), 1, demand, held, fleet, start), start)
		}
	}
	spent := func(from, to time.Duration) (rate float64) {
		for now := from; now < to; now += 20 * time.Millisecond {
			for _, client := range clients {
				if v, _ := client.ReserveFromLease("t", units, now); v == Granted {
					rate += units
				}
			}
		}
		return rate / (to - from).Seconds()
	}
	spent(start, start+LeaseDuration)
	standing := spent(start+LeaseDuration, start+LeaseDuration+standingFor)
	require.InDelta(t, standingPart*100_000, standing, 10_000)
	later := spent(start+LeaseDuration+standingFor+time.Second, start+LeaseDuration+2*standingFor)
	require.InDelta(t, standingPart*standingLater*100_000, later, 5_000)

	alone := NewClient(1)
	alone.SetLimits(limits, 0)
	v, _ := alone.ReserveFromLease("t", 1, time.Hour)
	require.Equal(t, Rejected, v)
}

// A primary leaves room for sidecars that it does not hear, once their leases have ended, and none where it hears all.
func TestReserve(t *testing.T) {
	require.Zero(t, ReservedFraction(11, 11, time.Hour))
	require.Zero(t, ReservedFraction(11, 12, time.Hour))
	require.Zero(t, ReservedFraction(0, 0, time.Hour))
	require.Zero(t, ReservedFraction(11, 8, LeaseDuration), "leases of the term before count otherwise")
	require.InDelta(t, standingPart*3/11, ReservedFraction(11, 8, time.Hour), 1e-9)
	a := NewAllocator(0)
	for i := range 5 {
		a.Allocate(fmt.Sprint(i), 1, nil, nil, 8, time.Duration(i)*time.Second)
	}
	require.Equal(t, 3, a.ActiveClients(4*time.Second+100*time.Millisecond))
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
