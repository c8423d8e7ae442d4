package quota

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// grantedRequest is one request whose units were granted.
type grantedRequest struct {
	at    time.Duration
	units float64
}

// simulation has routers, some with more of a tenant's requests than others, request nothing, less than its limit and
// many times as much alternately, while primaries change, restart and stop to answer. With pools, those without contact
// to a primary deposit their shares at one of a few, some of which fail.
type simulation struct {
	random *rand.Rand
	limits map[string]Limit
	units  float64 // of a request

	clients      []*Client
	cutUntil     []time.Duration // until then a client does not reach the primary
	pooled       *pooledClients
	buckets      *TokenBuckets
	allocator    *Allocator
	silentUntil  time.Duration
	nextFault    time.Duration
	pressure     float64 // times the rate
	nextPressure time.Duration
	spent        []grantedRequest
}

const (
	simulationStep  = 10 * time.Millisecond
	simulationSpan  = time.Minute
	requestInterval = 500 * time.Millisecond
)

// simulateLimit simulates a minute and returns the granted requests.
func simulateLimit(seed int64, limit Limit, fleet int, units float64, pools int) []grantedRequest {
	p := &simulation{random: rand.New(rand.NewSource(seed)), limits: map[string]Limit{"t": limit}, units: units,
		cutUntil: make([]time.Duration, fleet), nextFault: 9 * time.Second, pressure: 6, nextPressure: 10 * time.Second}
	for range fleet {
		client := NewClient(1)
		client.SetLimits(p.limits, 0)
		client.SetFleetSize(fleet)
		p.clients = append(p.clients, client)
	}
	p.lead(true, 0)
	p.pooled = newPooledClients(p.random, p.clients, p.limits, pools)
	for now := time.Duration(0); now < simulationSpan; now += simulationStep {
		p.step(now)
	}
	return p.spent
}

// lead begins a primary's term.
func (p *simulation) lead(started bool, at time.Duration) {
	p.buckets, p.allocator = NewTokenBuckets(bounds, started, at), NewAllocator(at)
	p.buckets.SetLimits(p.limits)
}

func (p *simulation) step(now time.Duration) {
	if now >= p.nextPressure {
		p.pressure = []float64{0, 0.7, 6}[p.random.Intn(3)]
		p.nextPressure = now + time.Duration(2+p.random.Intn(8))*time.Second
	}
	if now >= p.nextFault { // one fault in a window: a primary is lost, or routers are cut off from it
		p.nextFault = now + 8*time.Second + time.Duration(p.random.Intn(4000))*time.Millisecond
		p.injectFault(now)
	}
	if now >= p.silentUntil && now%requestInterval == 0 {
		reserve := ReservedFraction(len(p.clients), p.allocator.ActiveClients(now), p.allocator.TermAge(now))
		p.buckets.SetReserve(reserve)
		p.allocator.SetReserve(reserve)
	}
	for i := range p.clients {
		reaches := now >= p.silentUntil && now >= p.cutUntil[i]
		if reaches && now%requestInterval == time.Duration(i)*simulationStep {
			p.requestShares(i, now)
		}
		p.pooled.tick(i, reaches, now)
		p.request(i, reaches, now)
	}
}

// injectFault begins one fault.
func (p *simulation) injectFault(now time.Duration) {
	fleet := len(p.clients)
	switch p.random.Intn(4) {
	case 0: // there is no primary for long
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

// cutSome cuts three tenths of the routers off from the primary.
func (p *simulation) cutSome(until time.Duration) {
	fleet := len(p.clients)
	for i := range fleet * 3 / 10 {
		p.cutUntil[(i+p.random.Intn(fleet))%fleet] = until
	}
}

func (p *simulation) requestShares(i int, now time.Duration) {
	client := p.clients[i]
	request := client.RequestShares(now)
	client.ApplyShares(request.Nonce, p.allocator.Allocate(fmt.Sprint(i), 1, request, len(p.clients), now), now)
}

// request has a router receive a request of the tenant, with the probability that follows from its load.
func (p *simulation) request(i int, reaches bool, now time.Duration) {
	weight := 2 * float64(1+i%4) / 5
	load := p.pressure * weight * p.limits["t"].Rate / float64(len(p.clients))
	if p.random.Float64() > load/p.units*simulationStep.Seconds() {
		return
	}
	client := p.clients[i]
	v, extra := client.Reserve("t", p.units, now)
	if v == NeedsPrimary && reaches {
		given, _ := p.buckets.Acquire("t", p.units, extra, now)
		v = client.ApplyAcquired("t", given, p.units, now)
	} else if v == NeedsPrimary {
		v = p.pooled.reserve(i, p.units, now)
	}
	if v == Granted {
		p.spent = append(p.spent, grantedRequest{now, p.units})
	}
}

// largest is the largest sum of units granted in any window.
func largest(all []grantedRequest, window time.Duration) (maximum float64) {
	sum, first := 0.0, 0
	for _, s := range all {
		sum += s.units
		for s.at-all[first].at > window {
			sum -= all[first].units
			first++
		}
		maximum = max(maximum, sum)
	}
	return maximum
}

// However primaries change and whichever routers are cut off, all together stay within the limit's bound.
func TestTheLimitIsNotExceeded(t *testing.T) {
	for name, limit := range map[string]Limit{
		"large tenant": {Rate: 640_000, Burst: 640_000},
		"small tenant": {Rate: 29_000, Burst: 29_000},
	} {
		bound := (limit.Rate*bounds.Window.Seconds()+limit.Burst)*(1+bounds.Overshoot) + bounds.Slack
		for _, pools := range []int{0, 3} {
			worst := 0.0
			for seed := range int64(150) {
				fraction := largest(simulateLimit(seed, limit, 11, 9_250, pools), bounds.Window) / bound
				worst = max(worst, fraction)
				require.LessOrEqual(t, fraction, 1.0, "%s, %d pools, seed %d", name, pools, seed)
			}
			t.Logf("%s, %d pools: at most %.3f of the bound", name, pools, worst)
			require.Greater(t, worst, 0.7, "the limit is used")
		}
	}
}

// While there is no primary for longer than a lease lasts, the routers go on with most of the limit, together never
// with more than it; a router that never learnt their number has nothing.
func TestNoPrimaryForLong(t *testing.T) {
	limits := map[string]Limit{"t": {Rate: 100_000, Burst: 100_000}}
	const fleet, units = 11, 500
	clients := make([]*Client, fleet)
	allocator := NewAllocator(0)
	start := 2 * reclaimPeriod
	for range 10 { // demand is smoothed: it takes some requests to appear
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
			request := clients[i].RequestShares(start)
			clients[i].ApplyShares(request.Nonce, allocator.Allocate(fmt.Sprint(i), 1, request, fleet, start), start)
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
	standing := spent(start+LeaseDuration, start+LeaseDuration+standingPeriod)
	require.InDelta(t, standingFraction*100_000, standing, 10_000)
	later := spent(start+LeaseDuration+standingPeriod+time.Second, start+LeaseDuration+2*standingPeriod)
	require.InDelta(t, standingFraction*standingLateFactor*100_000, later, 5_000)

	alone := NewClient(1)
	alone.SetLimits(limits, 0)
	v, _ := alone.ReserveFromLease("t", 1, time.Hour)
	require.Equal(t, Rejected, v)
}

// A primary leaves room for routers without contact, once their leases have expired, and none where it has contact to
// all.
func TestReserve(t *testing.T) {
	require.Zero(t, ReservedFraction(11, 11, time.Hour))
	require.Zero(t, ReservedFraction(11, 12, time.Hour))
	require.Zero(t, ReservedFraction(0, 0, time.Hour))
	require.Zero(t, ReservedFraction(11, 8, LeaseDuration), "leases of the term before are counted by other means")
	require.InDelta(t, standingFraction*3/11, ReservedFraction(11, 8, time.Hour), 1e-9)
	allocator := NewAllocator(0)
	for i := range 5 {
		allocator.Allocate(fmt.Sprint(i), 1, ShareRequest{}, 8, time.Duration(i)*time.Second)
	}
	require.Equal(t, 3, allocator.ActiveClients(4*time.Second+100*time.Millisecond))
	buckets := NewTokenBuckets(bounds, true, 0)
	buckets.SetLimits(map[string]Limit{"t": {Rate: 100_000, Burst: 100_000}})
	buckets.SetReserve(0.2)
	taken := 0.0
	for now := 10 * time.Second; now < 20*time.Second; now += time.Millisecond {
		given, _ := buckets.Acquire("t", 1000, 0, now)
		taken += given
	}
	require.InDelta(t, 800_000, taken, 150_000)
}
