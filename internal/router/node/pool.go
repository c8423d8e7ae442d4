package node

import (
	"context"
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/gateway"
	"petrelhook/internal/router/quota"
)

// Times of the pools that sidecars spend of while they hear no primary.
const (
	primaryQuiet  = 800 * time.Millisecond // without an answer to what is asked each quotaEvery
	poolWait      = 100 * time.Millisecond // for a pool's answer: it may ask the primary
	poolSilence   = 2 * time.Second        // for which a host that did not answer is not asked again
	collectWait   = 300 * time.Millisecond // for a host to ask for a deposit after the first offer
	collectEvery  = 200 * time.Millisecond
	collectedGood = 500 * time.Millisecond
	offerEvery    = 100 * time.Millisecond
	offerGood     = 2 * time.Second // for which a sidecar is asked after its last deposit
)

// poolMembership is a sidecar's part in the pool of another, its host.
type poolMembership struct {
	host      string
	offered   periodic
	since     time.Duration // when it was first offered a deposit
	silent    bool          // as logged last
	collected time.Duration // when the host asked last
	avoid     map[string]time.Duration
	takes     map[uint64]chan dissemination.PoolAcquired
}

// poolHost is a control sidecar's pool.
type poolHost struct {
	pool   *quota.Pool
	offers map[string]*poolOffer // by address
}

// poolOffer is a sidecar that hears no primary.
type poolOffer struct {
	nonce    uint64
	asked    time.Duration // for a deposit
	answered time.Duration
}

func newPoolMembership() poolMembership {
	return poolMembership{avoid: map[string]time.Duration{}, takes: map[uint64]chan dissemination.PoolAcquired{}, collected: -collectedGood}
}

func newPoolHost() poolHost {
	return poolHost{pool: quota.NewPool(), offers: map[string]*poolOffer{}}
}

// primarySilent reports whether this sidecar hears no primary.
func (n *Node) primarySilent(now time.Duration) bool {
	if n.leads() {
		return false
	}
	return n.view.PrimaryAddress() == "" || now < n.silentUntil || now-n.primaryHeard > primaryQuiet
}

// tickPool asks for deposits, and offers some where the primary is silent.
func (n *Node) tickPool(now time.Duration) {
	for address, offer := range n.poolHost.offers {
		if now-offer.answered > offerGood {
			delete(n.poolHost.offers, address)
		} else if now-offer.asked >= collectEvery {
			n.collect(address, offer, now)
		}
	}
	silent := n.primarySilent(now)
	if silent {
		n.joinPool(now)
	}
	if silent != n.poolMembership.silent && n.ready.Load() {
		n.poolMembership.silent = silent
		n.logger.Info().Bool("silent", silent).Str("pool", n.poolMembership.host).Msg("primary")
	}
}

// joinPool offers a deposit to the pool of the own zone, unless that has asked for one lately.
func (n *Node) joinPool(now time.Duration) {
	p := &n.poolMembership
	waiting := now-p.offered.last < collectWait
	if now-p.collected < collectedGood || !n.pooling() || !p.offered.due(offerEvery, now) {
		return
	}
	if !waiting {
		p.since = now
	}
	if now >= n.gateway.QuotaPooledUntil() { // else the last host still has a deposit
		n.reviewPoolHost(now)
	}
	switch p.host {
	case "":
	case n.self.Address:
		n.onPoolOffer(p.host, now)
	default:
		n.transport.Send(p.host, dissemination.PoolOffer{})
	}
}

// pooling reports whether there are others to share a pool with.
func (n *Node) pooling() bool { return n.view.Epoch.Round > 0 && n.fleet > 1 }

// reviewPoolHost chooses a host, another one where the one there did not ask for a deposit in time.
func (n *Node) reviewPoolHost(now time.Duration) {
	p := &n.poolMembership
	if p.host != "" && now-p.since > collectWait {
		p.avoid[p.host] = now + poolSilence
	}
	if best := n.choosePoolHost(now); best != p.host {
		p.host, p.since = best, now
	}
}

// choosePoolHost finds the member of the core that all of a zone take, but the primary, which is silent.
func (n *Node) choosePoolHost(now time.Duration) string {
	primary := n.view.PrimaryAddress()
	return n.nearestMember(n.settings.Zone, func(address string) bool {
		return address == primary || now < n.poolMembership.avoid[address]
	})
}

// onPoolOffer takes in that a sidecar hears no primary.
func (n *Node) onPoolOffer(from string, now time.Duration) {
	if !n.core() {
		return
	}
	offer := n.poolHost.offers[from]
	if offer == nil {
		offer = &poolOffer{}
		n.poolHost.offers[from] = offer
	}
	offer.answered = now
	n.collect(from, offer, now)
}

// collect asks a sidecar for a deposit, which counts from now.
func (n *Node) collect(from string, offer *poolOffer, now time.Duration) {
	n.token++
	offer.nonce = n.token
	offer.asked = now
	if from == n.self.Address {
		n.onPoolCollect(from, dissemination.PoolCollect{Nonce: offer.nonce}, now)
		return
	}
	n.transport.Send(from, dissemination.PoolCollect{Nonce: offer.nonce})
}

// onPoolCollect answers a host with a deposit, or, once a primary is heard again, with an empty one.
func (n *Node) onPoolCollect(from string, m dissemination.PoolCollect, now time.Duration) {
	answer := dissemination.PoolDeposit{Nonce: m.Nonce}
	if from == n.poolMembership.host && n.primarySilent(now) {
		n.poolMembership.collected = now
		answer.Deposit = n.gateway.QuotaDeposit()
	}
	if from == n.self.Address {
		n.onPoolDeposit(from, answer, now)
		return
	}
	n.transport.Send(from, answer)
}

func (n *Node) onPoolDeposit(from string, m dissemination.PoolDeposit, now time.Duration) {
	offer := n.poolHost.offers[from]
	if offer == nil || offer.nonce != m.Nonce {
		return
	}
	n.poolHost.pool.Put(from, m.Deposit, offer.asked, now)
	if m.Deposit.For <= 0 {
		delete(n.poolHost.offers, from)
		return
	}
	offer.answered = now
}

// onPoolTake spends of the pool for one of its members; where there is not enough, and this sidecar hears the primary, that is asked.
func (n *Node) onPoolTake(from string, m dissemination.PoolAcquire, now time.Duration) {
	verdict, wait := n.poolHost.pool.Reserve(m.Tenant, m.Units, now)
	if verdict == quota.Granted || n.primarySilent(now) {
		n.transport.Send(from, dissemination.PoolAcquired{Request: m.Request, Granted: verdict == quota.Granted, Wait: wait})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), poolWait)
		defer cancel()
		taken := dissemination.PoolAcquired{Request: m.Request, Wait: wait}
		if acquired := n.acquireOfPrimary(ctx, m.Tenant, m.Units, 0); acquired.Source == gateway.FromPrimary {
			taken.Granted, taken.Wait = acquired.Granted >= m.Units, acquired.RetryAfter
		}
		n.transport.Send(from, taken)
	}()
}

func (n *Node) onPoolTaken(m dissemination.PoolAcquired) {
	if to := n.poolMembership.takes[m.Request]; to != nil {
		delete(n.poolMembership.takes, m.Request)
		to <- m
	}
}

// acquireOfPool spends of the pool that has this sidecar's deposit.
func (n *Node) acquireOfPool(ctx context.Context, tenant string, units float64) gateway.Acquisition {
	n.mutex.Lock()
	now := n.now()
	n.joinPool(now)
	p := &n.poolMembership
	if p.host == "" || now-p.collected >= collectedGood {
		n.mutex.Unlock()
		return gateway.Acquisition{}
	}
	if p.host == n.self.Address {
		verdict, wait := n.poolHost.pool.Reserve(tenant, units, now)
		n.mutex.Unlock()
		return pooled(verdict == quota.Granted, units, wait)
	}
	answer := make(chan dissemination.PoolAcquired, 1)
	n.token++
	request, host := n.token, p.host
	p.takes[request] = answer
	n.mutex.Unlock()
	n.transport.Send(host, dissemination.PoolAcquire{Request: request, Tenant: tenant, Units: units})
	timer := time.NewTimer(poolWait)
	defer timer.Stop()
	select {
	case taken := <-answer:
		return pooled(taken.Granted, units, taken.Wait)
	case <-timer.C:
	case <-ctx.Done():
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(p.takes, request)
	if ctx.Err() == nil {
		p.avoid[host] = n.now() + poolSilence
		p.collected = -collectedGood
	}
	return gateway.Acquisition{}
}

func pooled(granted bool, units float64, wait time.Duration) gateway.Acquisition {
	if !granted {
		units = 0
	}
	return gateway.Acquisition{Source: gateway.FromPool, Granted: units, RetryAfter: wait}
}
