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

// pooledClients are clients that leave what they have to pools while they hear no primary.
type pooledClients struct {
	random  *rand.Rand
	clients []*Client
	pools   []*Pool
	failed  []time.Duration // until when a pool answers nothing
	at      []int           // the pool of a client
	every   time.Duration
	fail    bool
}

func newPooledClients(random *rand.Rand, clients []*Client, limits map[string]Limit, pools int) *pooledClients {
	p := &pooledClients{random: random, clients: clients, failed: make([]time.Duration, pools), at: make([]int, len(clients)), every: 200 * time.Millisecond, fail: true}
	for range pools {
		pool := NewPool()
		pool.SetLimits(limits)
		p.pools = append(p.pools, pool)
	}
	for i := range clients {
		p.at[i] = i % max(1, pools)
	}
	return p
}

// tick has a client's pool ask it for a deposit, now and then, and a pool fail, rarely. A client whose pool fails goes to another once
// its deposit has ended.
func (p *pooledClients) tick(i int, reaches bool, now time.Duration) {
	if len(p.pools) == 0 {
		return
	}
	if p.fail && i == 0 && p.random.Intn(1000) == 0 {
		p.failed[p.random.Intn(len(p.pools))] = now + time.Duration(p.random.Intn(2000))*time.Millisecond
	}
	if now%p.every != time.Duration(i%20)*10*time.Millisecond {
		return
	}
	client := p.clients[i]
	if now < p.failed[p.at[i]] {
		if now >= client.PooledUntil() {
			p.at[i] = p.random.Intn(len(p.pools))
		}
		return
	}
	asked := now - time.Duration(p.random.Intn(300))*time.Millisecond
	deposit := Deposit{}
	if !reaches {
		deposit = client.Deposit(now)
	}
	if p.random.Intn(10) > 0 { // else it is lost on the way
		p.pools[p.at[i]].Put(fmt.Sprint(i), deposit, asked, now)
	}
}

// take spends of the pool, where that has what the client had, or of the client's own.
func (p *pooledClients) take(i int, units float64, now time.Duration) Verdict {
	v, _ := p.clients[i].ReserveFromLease("t", units, now)
	if v == Granted || now >= p.clients[i].PooledUntil() {
		return v
	}
	if now >= p.failed[p.at[i]] {
		v, _ = p.pools[p.at[i]].Reserve("t", units, now)
	}
	return v
}

// leased is a client of a fleet of two that had half of the limit when the primary fell silent, at 0.
func leased(limits map[string]Limit) *Client {
	client := NewClient(1)
	client.SetLimits(limits, 0)
	client.SetFleetSize(2)
	nonce, _, _ := client.RequestShares(0)
	client.ApplyShares(nonce, map[string]float64{"t": 0.5}, 0)
	return client
}

// A pool spends nothing of a deposit from its end on, however late that came; the sidecar spends nothing before, and has earned nothing
// meanwhile.
func TestADepositEndsAtThePoolFirst(t *testing.T) {
	limits := map[string]Limit{"t": {Rate: 1000, Burst: 1000}}
	client, pool := leased(limits), NewPool()
	pool.SetLimits(limits)
	asked, answered := 100*time.Millisecond, 400*time.Millisecond
	deposit := client.Deposit(answered)
	pool.Put("a", deposit, asked, answered)
	v, _ := client.ReserveFromLease("t", 1, answered)
	require.Equal(t, Rejected, v)
	v, _ = pool.Reserve("t", 1, answered)
	require.Equal(t, Granted, v)
	require.Equal(t, 1, pool.DepositCount(asked+depositFor-time.Millisecond))
	require.Zero(t, pool.DepositCount(asked+depositFor))
	v, _ = pool.Reserve("t", 1, asked+depositFor)
	require.Equal(t, Rejected, v)

	ended := answered + depositFor
	v, wait := client.ReserveFromLease("t", 1, ended-time.Millisecond)
	require.Equal(t, Rejected, v)
	require.Equal(t, time.Millisecond, wait)
	earned := answered.Seconds() * 500 // until it left its share to the pool
	v, _ = client.ReserveFromLease("t", earned, ended)
	require.Equal(t, Granted, v)
	v, _ = client.ReserveFromLease("t", 1, ended+time.Millisecond)
	require.Equal(t, Rejected, v)
}

// What a sidecar's requests took ahead is paid by the pool, and outlasts the deposit there.
func TestDebtsGoWithADeposit(t *testing.T) {
	limits := map[string]Limit{"t": {Rate: 1000, Burst: 1000}}
	client, pool := leased(limits), NewPool()
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
	require.Equal(t, 3400*time.Millisecond, wait, "the time of the first deposit has paid a part")
}

// silence is a load within a tenant's limit, first with a primary and then without one.
type silence struct {
	fleet int
	rate  float64
	pools int
}

// refused plays it and returns the part of the requests without a primary that were refused.
func (s silence) refused() float64 {
	const (
		units = 1500.0
		load  = 0.77            // of the limit
		start = 6 * time.Second // until then a primary answers
		span  = 12 * time.Second
	)
	p := &limitPlay{random: rand.New(rand.NewSource(1)), limits: map[string]Limit{"t": {Rate: s.rate, Burst: s.rate}}, allocator: NewAllocator(-time.Minute)}
	for range s.fleet {
		client := NewClient(1)
		client.SetLimits(p.limits, 0)
		client.SetFleetSize(s.fleet)
		p.clients = append(p.clients, client)
	}
	p.pooled = newPooledClients(p.random, p.clients, p.limits, s.pools)
	p.pooled.fail = false
	asks, refused := 0, 0
	for now := time.Duration(0); now < start+span; now += playStep {
		for i, client := range p.clients {
			if now < start && now%askEvery == time.Duration(i%50)*playStep {
				p.ask(i, now)
			}
			if now >= start {
				p.pooled.tick(i, false, now)
			}
			if p.random.Float64() > load*s.rate/float64(s.fleet)/units*playStep.Seconds() {
				continue
			}
			if v, _ := client.Reserve("t", units, now); now < start || v == Granted {
				continue
			}
			asks++
			if p.pooled.take(i, units, now) != Granted {
				refused++
			}
		}
	}
	return float64(refused) / float64(asks)
}

// While nobody leads, what sidecars refuse of a load within the limit: alone and with a pool a zone.
func TestPoolsBesideNone(t *testing.T) {
	for _, with := range []silence{{11, 60_000, 4}, {92, 250_000, 5}, {72, 60_000, 6}, {630, 250_000, 7}} {
		alone, together := silence{with.fleet, with.rate, 0}.refused(), with.refused()
		t.Logf("%d sidecars: %.2f alone, %.2f with %d pools", with.fleet, alone, together, with.pools)
		assert.Less(t, together, 0.5*alone, "%d sidecars", with.fleet)
	}
}

// What a request costs the host of a pool of a region: 90 sidecars' deposits, renewed five times a second, and 7,700 tenants.
func BenchmarkPoolTake(b *testing.B) {
	const sidecars, tenants, takesBetween = 90, 7_700, 20
	limits := map[string]Limit{}
	for i := range tenants {
		limits[fmt.Sprint(i)] = Limit{Rate: 1e6, Burst: 1e6}
	}
	pool := NewPool()
	pool.SetLimits(limits)
	now := time.Duration(0)
	names := make([]string, sidecars)
	for i := range names {
		names[i] = fmt.Sprint("sidecar ", i)
	}
	for i := 0; b.Loop(); i++ {
		if i%takesBetween == 0 {
			pool.Put(names[i/takesBetween%sidecars], Deposit{Standing: standingPart / 630, For: depositFor}, now, now)
		}
		pool.Reserve(strconv.Itoa(i%tenants), 1000, now)
		now += 110 * time.Microsecond
	}
}
