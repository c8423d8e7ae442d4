package quota

import (
	"fmt"
	"math/rand"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pooledClients simulates clients that deposit their shares with pools while they have no contact to a primary.
type pooledClients struct {
	random          *rand.Rand
	clients         []*Client
	pools           []*Pool
	failedUntil     []time.Duration // until then a pool does not answer
	poolOf          []int           // the index of a client's pool
	collectInterval time.Duration
	injectFailures  bool
}

func newPooledClients(random *rand.Rand, clients []*Client, limits map[string]Limit, pools int) *pooledClients {
	p := &pooledClients{random: random, clients: clients, failedUntil: make([]time.Duration, pools), poolOf: make([]int, len(clients)), collectInterval: 200 * time.Millisecond, injectFailures: true}
	for range pools {
		pool := NewPool()
		pool.SetLimits(limits)
		p.pools = append(p.pools, pool)
	}
	for i := range clients {
		p.poolOf[i] = i % max(1, pools)
	}
	return p
}

// tick lets the pool of a client request its deposit every collectInterval, and rarely lets a pool fail. A client whose
// pool has failed changes to another pool once its deposit has expired.
func (p *pooledClients) tick(i int, reachesPrimary bool, now time.Duration) {
	if len(p.pools) == 0 {
		return
	}
	if p.injectFailures && i == 0 && p.random.Intn(1000) == 0 {
		p.failedUntil[p.random.Intn(len(p.pools))] = now + time.Duration(p.random.Intn(2000))*time.Millisecond
	}
	if now%p.collectInterval != time.Duration(i%20)*10*time.Millisecond {
		return
	}
	client := p.clients[i]
	if now < p.failedUntil[p.poolOf[i]] {
		if now >= client.PooledUntil() {
			p.poolOf[i] = p.random.Intn(len(p.pools))
		}
		return
	}
	requestedAt := now - time.Duration(p.random.Intn(300))*time.Millisecond
	deposit := Deposit{}
	if !reachesPrimary {
		deposit = client.Deposit(now)
	}
	if p.random.Intn(10) > 0 { // otherwise the deposit is lost on the way
		p.pools[p.poolOf[i]].Put(fmt.Sprint(i), deposit, requestedAt, now)
	}
}

// reserve spends the client's own share, or the pool's shares if the client has deposited its own.
func (p *pooledClients) reserve(i int, units float64, now time.Duration) Verdict {
	verdict, _ := p.clients[i].ReserveFromLease("t", units, now)
	if verdict == Granted || now >= p.clients[i].PooledUntil() {
		return verdict
	}
	if now >= p.failedUntil[p.poolOf[i]] {
		verdict, _ = p.pools[p.poolOf[i]].Reserve("t", units, now)
	}
	return verdict
}

// leasedClient returns a client of a fleet of two that held half of the limit when it lost contact to the primary at
// time 0.
func leasedClient(limits map[string]Limit) *Client {
	client := NewClient(1)
	client.SetLimits(limits, 0)
	client.SetFleetSize(2)
	nonce := client.RequestShares(0).Nonce
	client.ApplyShares(nonce, map[string]float64{"t": 0.5}, 0)
	return client
}

// A pool does not spend a deposit after its expiry, however late the deposit arrived. The router spends nothing before
// the expiry, and its bucket is not refilled until then.
func TestADepositEndsAtThePoolFirst(t *testing.T) {
	limits := map[string]Limit{"t": {Rate: 1000, Burst: 1000}}
	client, pool := leasedClient(limits), NewPool()
	pool.SetLimits(limits)
	requestedAt, answeredAt := 100*time.Millisecond, 400*time.Millisecond
	deposit := client.Deposit(answeredAt)
	pool.Put("a", deposit, requestedAt, answeredAt)
	v, _ := client.ReserveFromLease("t", 1, answeredAt)
	require.Equal(t, Rejected, v)
	v, _ = pool.Reserve("t", 1, answeredAt)
	require.Equal(t, Granted, v)
	require.Equal(t, 1, pool.DepositCount(requestedAt+depositDuration-time.Millisecond))
	require.Zero(t, pool.DepositCount(requestedAt+depositDuration))
	v, _ = pool.Reserve("t", 1, requestedAt+depositDuration)
	require.Equal(t, Rejected, v)

	depositEnd := answeredAt + depositDuration
	v, wait := client.ReserveFromLease("t", 1, depositEnd-time.Millisecond)
	require.Equal(t, Rejected, v)
	require.Equal(t, time.Millisecond, wait)
	earned := answeredAt.Seconds() * 500 // before it deposited its share
	v, _ = client.ReserveFromLease("t", earned, depositEnd)
	require.Equal(t, Granted, v)
	v, _ = client.ReserveFromLease("t", 1, depositEnd+time.Millisecond)
	require.Equal(t, Rejected, v)
}

// The pool pays off the debt of a router's requests, and keeps the debt after the deposit has ended.
func TestDebtsGoWithADeposit(t *testing.T) {
	limits := map[string]Limit{"t": {Rate: 1000, Burst: 1000}}
	client, pool := leasedClient(limits), NewPool()
	pool.SetLimits(limits)
	v, _ := client.ReserveFromLease("t", 2000, 0)
	require.Equal(t, Granted, v)
	pool.Put("a", client.Deposit(0), 0, 0)
	v, wait := pool.Reserve("t", 1, 0)
	require.Equal(t, Rejected, v)
	require.Equal(t, 4*time.Second, wait)
	pool.Put("a", Deposit{}, time.Second, time.Second)
	pool.Put("a", Deposit{Standing: 0.5, For: time.Second}, 2*time.Second, 2*time.Second)
	v, wait = pool.Reserve("t", 1, 2*time.Second)
	require.Equal(t, Rejected, v)
	require.Equal(t, 3400*time.Millisecond, wait, "the first deposit has paid off part of the debt")
}

// primaryOutage is a load within a tenant's limit, first with a primary and then without one.
type primaryOutage struct {
	fleet int
	rate  float64
	pools int
}

// rejectedFraction simulates the outage and returns the fraction of the requests without a primary that were rejected.
func (s primaryOutage) rejectedFraction() float64 {
	const (
		units          = 1500.0
		load           = 0.77            // of the limit
		outageStart    = 6 * time.Second // until then a primary answers
		outageDuration = 12 * time.Second
	)
	p := &simulation{random: rand.New(rand.NewSource(1)), limits: map[string]Limit{"t": {Rate: s.rate, Burst: s.rate}}, allocator: NewAllocator(-time.Minute)}
	for range s.fleet {
		client := NewClient(1)
		client.SetLimits(p.limits, 0)
		client.SetFleetSize(s.fleet)
		p.clients = append(p.clients, client)
	}
	p.pooled = newPooledClients(p.random, p.clients, p.limits, s.pools)
	p.pooled.injectFailures = false
	requests, rejected := 0, 0
	for now := time.Duration(0); now < outageStart+outageDuration; now += simulationStep {
		for i, client := range p.clients {
			if now < outageStart && now%requestInterval == time.Duration(i%50)*simulationStep {
				p.requestShares(i, now)
			}
			if now >= outageStart {
				p.pooled.tick(i, false, now)
			}
			if p.random.Float64() > load*s.rate/float64(s.fleet)/units*simulationStep.Seconds() {
				continue
			}
			if v, _ := client.Reserve("t", units, now); now < outageStart || v == Granted {
				continue
			}
			requests++
			if p.pooled.reserve(i, units, now) != Granted {
				rejected++
			}
		}
	}
	return float64(rejected) / float64(requests)
}

// Without a primary, routers with a pool in each zone reject less than half as many requests of a load within the limit
// as routers without pools.
func TestPoolsBesideNone(t *testing.T) {
	for _, outage := range []primaryOutage{{11, 60_000, 4}, {92, 250_000, 5}, {72, 60_000, 6}, {630, 250_000, 7}} {
		aloneFraction, pooledFraction := primaryOutage{outage.fleet, outage.rate, 0}.rejectedFraction(), outage.rejectedFraction()
		t.Logf("%d routers: %.2f alone, %.2f with %d pools", outage.fleet, aloneFraction, pooledFraction, outage.pools)
		assert.Less(t, pooledFraction, 0.5*aloneFraction, "%d routers", outage.fleet)
	}
}

// BenchmarkPoolTake measures the cost of a request at the host of a region's pool: deposits of 90 routers, each renewed
// five times per second, and 7,700 tenants.
func BenchmarkPoolTake(b *testing.B) {
	const routers, tenants, takesBetween = 90, 7_700, 20
	limits := map[string]Limit{}
	for i := range tenants {
		limits[fmt.Sprint(i)] = Limit{Rate: 1e6, Burst: 1e6}
	}
	pool := NewPool()
	pool.SetLimits(limits)
	now := time.Duration(0)
	names := make([]string, routers)
	for i := range names {
		names[i] = fmt.Sprint("router ", i)
	}
	for i := 0; b.Loop(); i++ {
		if i%takesBetween == 0 {
			pool.Put(names[i/takesBetween%routers], Deposit{Standing: standingFraction / 630, For: depositDuration}, now, now)
		}
		pool.Reserve(strconv.Itoa(i%tenants), 1000, now)
		now += 110 * time.Microsecond
	}
}
