package quota

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// grantedRequest is a request whose units were granted.
type grantedRequest struct {
	at    time.Duration
	units float64
}

// simulation simulates routers that receive requests of one tenant, some routers more than others. The load alternates
// between none, less than the limit and a multiple of it, while primaries change, restart and stop answering. If there
// are pools, routers without contact to a primary deposit their shares with one of them, and pools fail at times.
type simulation struct {
	random *rand.Rand
	limits map[string]Limit
	units  float64 // of a request

	clients          []*Client
	partitionedUntil []time.Duration // until then a client does not reach the primary
	pooled           *pooledClients
	buckets          *TokenBuckets
	allocator        *Allocator
	primaryDownUntil time.Duration
	nextFault        time.Duration
	loadFactor       float64 // load as a multiple of the limit's rate
	nextLoadChange   time.Duration
	grants           []grantedRequest
}

const (
	simulationStep  = 10 * time.Millisecond
	simulationSpan  = time.Minute
	requestInterval = 500 * time.Millisecond
)

// simulateLimit simulates simulationSpan and returns the granted requests.
func simulateLimit(seed int64, limit Limit, fleet int, units float64, pools int) []grantedRequest {
	p := &simulation{random: rand.New(rand.NewSource(seed)), limits: map[string]Limit{"t": limit}, units: units,
		partitionedUntil: make([]time.Duration, fleet), nextFault: 9 * time.Second, loadFactor: 6, nextLoadChange: 10 * time.Second}
	for range fleet {
		client := NewClient(1)
		client.SetLimits(p.limits, 0)
		client.SetFleetSize(fleet)
		p.clients = append(p.clients, client)
	}
	p.startTerm(true, 0)
	p.pooled = newPooledClients(p.random, p.clients, p.limits, pools)
	for now := time.Duration(0); now < simulationSpan; now += simulationStep {
		p.step(now)
	}
	return p.grants
}

// startTerm begins a primary's term.
func (p *simulation) startTerm(started bool, at time.Duration) {
	p.buckets, p.allocator = NewTokenBuckets(bounds, started, at), NewAllocator(at)
	p.buckets.SetLimits(p.limits)
}

func (p *simulation) step(now time.Duration) {
	if now >= p.nextLoadChange {
		p.loadFactor = []float64{0, 0.7, 6}[p.random.Intn(3)]
		p.nextLoadChange = now + time.Duration(2+p.random.Intn(8))*time.Second
	}
	if now >= p.nextFault { // one fault per window: the primary is lost, or routers are partitioned from it
		p.nextFault = now + 8*time.Second + time.Duration(p.random.Intn(4000))*time.Millisecond
		p.injectFault(now)
	}
	if now >= p.primaryDownUntil && now%requestInterval == 0 {
		reserve := ReservedFraction(len(p.clients), p.allocator.ActiveClients(now), p.allocator.TermAge(now))
		p.buckets.SetReserve(reserve)
		p.allocator.SetReserve(reserve)
	}
	for i := range p.clients {
		reachesPrimary := now >= p.primaryDownUntil && now >= p.partitionedUntil[i]
		if reachesPrimary && now%requestInterval == time.Duration(i)*simulationStep {
			p.requestShares(i, now)
		}
		p.pooled.tick(i, reachesPrimary, now)
		p.request(i, reachesPrimary, now)
	}
}

// injectFault begins one fault.
func (p *simulation) injectFault(now time.Duration) {
	fleet := len(p.clients)
	switch p.random.Intn(4) {
	case 0: // there is no primary for a long time
		p.primaryDownUntil = now + time.Duration(3000+p.random.Intn(9000))*time.Millisecond
		p.nextFault += p.primaryDownUntil - now
		p.startTerm(p.random.Intn(3) == 0, p.primaryDownUntil)
	case 1: // the primary is lost, and some routers do not reach the next one for a while
		p.primaryDownUntil = now + time.Duration(600+p.random.Intn(900))*time.Millisecond
		for range fleet / 5 {
			p.partitionedUntil[p.random.Intn(fleet)] = p.primaryDownUntil + 2*time.Second
		}
		p.startTerm(p.random.Intn(3) == 0, p.primaryDownUntil)
	case 2: // some routers are partitioned for longer than a lease
		span := time.Duration(6+p.random.Intn(6)) * time.Second
		p.nextFault += span
		p.partitionSome(now + span)
	default:
		p.partitionSome(now + 5*time.Second)
	}
}

// partitionSome partitions up to three tenths of the routers from the primary.
func (p *simulation) partitionSome(until time.Duration) {
	fleet := len(p.clients)
	for i := range fleet * 3 / 10 {
		p.partitionedUntil[(i+p.random.Intn(fleet))%fleet] = until
	}
}

func (p *simulation) requestShares(i int, now time.Duration) {
	client := p.clients[i]
	request := client.RequestShares(now)
	client.ApplyShares(request.Nonce, p.allocator.Allocate(fmt.Sprint(i), 1, request, len(p.clients), now), now)
}

// request lets a router receive a request of the tenant, with a probability according to its load.
func (p *simulation) request(i int, reachesPrimary bool, now time.Duration) {
	weight := 2 * float64(1+i%4) / 5
	load := p.loadFactor * weight * p.limits["t"].Rate / float64(len(p.clients))
	if p.random.Float64() > load/p.units*simulationStep.Seconds() {
		return
	}
	client := p.clients[i]
	verdict, extra := client.Reserve("t", p.units, now)
	if verdict == NeedsPrimary && reachesPrimary {
		granted, _ := p.buckets.Acquire("t", p.units, extra, now)
		verdict = client.ApplyAcquired("t", granted, p.units, now)
	} else if verdict == NeedsPrimary {
		verdict = p.pooled.reserve(i, p.units, now)
	}
	if verdict == Granted {
		p.grants = append(p.grants, grantedRequest{now, p.units})
	}
}

// maxWindowSum returns the largest sum of units granted in any window.
func maxWindowSum(grants []grantedRequest, window time.Duration) (maximum float64) {
	sum, first := 0.0, 0
	for _, grant := range grants {
		sum += grant.units
		for grant.at-grants[first].at > window {
			sum -= grants[first].units
			first++
		}
		maximum = max(maximum, sum)
	}
	return maximum
}

// Whatever primaries fail and routers are partitioned, all routers together stay within the limit's bound.
func TestTheLimitIsNotExceeded(t *testing.T) {
	for name, limit := range map[string]Limit{
		"large tenant": {Rate: 640_000, Burst: 640_000},
		"small tenant": {Rate: 29_000, Burst: 29_000},
	} {
		bound := (limit.Rate*bounds.Window.Seconds()+limit.Burst)*(1+bounds.Overshoot) + bounds.Slack
		for _, pools := range []int{0, 3} {
			worst := 0.0
			for seed := range int64(150) {
				fraction := maxWindowSum(simulateLimit(seed, limit, 11, 9_250, pools), bounds.Window) / bound
				worst = max(worst, fraction)
				require.LessOrEqual(t, fraction, 1.0, "%s, %d pools, seed %d", name, pools, seed)
			}
			t.Logf("%s, %d pools: at most %.3f of the bound", name, pools, worst)
			require.Greater(t, worst, 0.7, "the simulation comes near the bound")
		}
	}
}

// Without a primary for longer than a lease, the routers together continue to use most of the limit, and never more than
// it. A router that never learned the size of the fleet is granted nothing.
func TestNoPrimaryForLong(t *testing.T) {
	limits := map[string]Limit{"t": {Rate: 100_000, Burst: 100_000}}
	const fleet, units = 11, 500
	clients := make([]*Client, fleet)
	allocator := NewAllocator(0)
	start := 2 * reclaimPeriod
	for range 10 { // demand is smoothed, so the estimate takes some requests to converge
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
	grantedRate := func(from, to time.Duration) (rate float64) {
		for now := from; now < to; now += 20 * time.Millisecond {
			for _, client := range clients {
				if v, _ := client.ReserveFromLease("t", units, now); v == Granted {
					rate += units
				}
			}
		}
		return rate / (to - from).Seconds()
	}
	grantedRate(start, start+LeaseDuration)
	standingRate := grantedRate(start+LeaseDuration, start+LeaseDuration+standingPeriod)
	require.InDelta(t, standingFraction*100_000, standingRate, 10_000)
	lateRate := grantedRate(start+LeaseDuration+standingPeriod+time.Second, start+LeaseDuration+2*standingPeriod)
	require.InDelta(t, standingFraction*standingLateFactor*100_000, lateRate, 5_000)

	unconnected := NewClient(1)
	unconnected.SetLimits(limits, 0)
	v, _ := unconnected.ReserveFromLease("t", 1, time.Hour)
	require.Equal(t, Rejected, v)
}

// A primary reserves a part of the limit for routers that do not reach it once their leases have expired, and nothing if
// all routers reach it.
func TestReserve(t *testing.T) {
	require.Zero(t, ReservedFraction(11, 11, time.Hour))
	require.Zero(t, ReservedFraction(11, 12, time.Hour))
	require.Zero(t, ReservedFraction(0, 0, time.Hour))
	require.Zero(t, ReservedFraction(11, 8, LeaseDuration), "the token buckets leave room for leases of the previous term")
	require.InDelta(t, standingFraction*3/11, ReservedFraction(11, 8, time.Hour), 1e-9)
	allocator := NewAllocator(0)
	for i := range 5 {
		allocator.Allocate(fmt.Sprint(i), 1, ShareRequest{}, 8, time.Duration(i)*time.Second)
	}
	require.Equal(t, 3, allocator.ActiveClients(4*time.Second+100*time.Millisecond))
	buckets := NewTokenBuckets(bounds, true, 0)
	buckets.SetLimits(map[string]Limit{"t": {Rate: 100_000, Burst: 100_000}})
	buckets.SetReserve(0.2)
	acquired := 0.0
	for now := 10 * time.Second; now < 20*time.Second; now += time.Millisecond {
		granted, _ := buckets.Acquire("t", 1000, 0, now)
		acquired += granted
	}
	require.InDelta(t, 800_000, acquired, 150_000)
}
