package node

import (
	"context"
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/gateway"
)

// poolTimeout bounds how long a client's request waits for a pool's answer. The host may ask the primary meanwhile.
const poolTimeout = 100 * time.Millisecond

// tickPool asks routers for their deposits, and offers this router's while it has no contact with the primary.
func (n *Node) tickPool(now time.Duration) {
	for _, address := range n.quotas.pool.Review(now) {
		n.collectDeposit(address, now)
	}
	lost := n.lacksPrimary(now)
	if lost {
		n.offerDeposit(now)
	}
	if lost != n.quotas.lostPrimary && n.ready.Load() {
		n.quotas.lostPrimary = lost
		n.logPrimaryContact(lost)
	}
}

func (n *Node) logPrimaryContact(lost bool) {
	line := n.logger.Info().Str("pool", n.quotas.contributor.Host())
	if lost {
		line.Msg("primary contact lost")
		return
	}
	line.Msg("primary contact restored")
}

// offerDeposit offers this router's deposit to the pool of its zone, unless that has asked for it lately. It does
// nothing while there is no other router to share a pool with.
func (n *Node) offerDeposit(now time.Duration) {
	view := &n.control.view
	if view.Epoch.Round == 0 || n.fleetSize <= 1 {
		return
	}
	host, ok := n.quotas.contributor.Offer(view.Members, view.PrimaryAddress(), n.gateway.QuotaPooledUntil(), now)
	switch {
	case !ok:
	case host == n.self.Address:
		n.receivePoolOffer(host, now)
	default:
		n.transport.Send(host, dissemination.PoolOffer{})
	}
}

// receivePoolOffer asks a router for its deposit.
func (n *Node) receivePoolOffer(from string, now time.Duration) {
	if !n.isCoreMember() {
		return
	}
	n.quotas.pool.ReceiveOffer(from, now)
	n.collectDeposit(from, now)
}

// collectDeposit asks a router for its deposit, which counts from now on.
func (n *Node) collectDeposit(from string, now time.Duration) {
	m := dissemination.PoolCollect{Nonce: n.nextRequest()}
	n.quotas.pool.Collect(from, m.Nonce, now)
	if from == n.self.Address {
		n.receivePoolCollect(from, m, now)
		return
	}
	n.transport.Send(from, m)
}

// receivePoolCollect answers a host with a deposit, or, once this router has contact with a primary, with an empty one.
func (n *Node) receivePoolCollect(from string, m dissemination.PoolCollect, now time.Duration) {
	answer := dissemination.PoolDeposit{Nonce: m.Nonce}
	if from == n.quotas.contributor.Host() && n.lacksPrimary(now) {
		n.quotas.contributor.RecordCollection(now)
		answer.Deposit = n.gateway.QuotaDeposit()
	}
	if from == n.self.Address {
		n.receivePoolDeposit(from, answer, now)
		return
	}
	n.transport.Send(from, answer)
}

// receivePoolDeposit adds a router's deposit to the pool hosted here.
func (n *Node) receivePoolDeposit(from string, m dissemination.PoolDeposit, now time.Duration) {
	n.quotas.pool.ReceiveDeposit(from, m.Nonce, m.Deposit, now)
}

// receivePoolAcquire spends of the pool for a router's client request. Where the pool does not have enough and this
// router has contact with the primary, it asks the primary.
func (n *Node) receivePoolAcquire(from string, m dissemination.PoolAcquire, now time.Duration) {
	granted, wait := n.quotas.pool.Acquire(m.Tenant, m.Units, now)
	answer := dissemination.PoolAcquired{Request: m.Request, Granted: granted, Wait: wait}
	if granted || n.lacksPrimary(now) {
		n.transport.Send(from, answer)
		return
	}
	go n.answerFromPrimary(from, m, answer) // it ends within poolTimeout
}

// answerFromPrimary answers a request for units by what the primary gives, or by answer where the primary does not
// respond. It acquires the lock.
func (n *Node) answerFromPrimary(to string, m dissemination.PoolAcquire, answer dissemination.PoolAcquired) {
	ctx, cancel := context.WithTimeout(context.Background(), poolTimeout)
	defer cancel()
	if acquired := n.acquireFromPrimary(ctx, m.Tenant, m.Units, 0); acquired.Source == gateway.FromPrimary {
		answer.Granted, answer.Wait = acquired.Granted >= m.Units, acquired.RetryAfter
	}
	n.transport.Send(to, answer)
}

// acquireFromPool spends of the pool that has this router's deposit. It acquires the lock.
func (n *Node) acquireFromPool(ctx context.Context, tenant string, units float64) gateway.Acquisition {
	q := &n.quotas
	n.mutex.Lock()
	now := n.now()
	n.offerDeposit(now)
	if !q.contributor.Active(now) {
		n.mutex.Unlock()
		return gateway.Acquisition{}
	}
	host := q.contributor.Host()
	if host == n.self.Address {
		granted, wait := q.pool.Acquire(tenant, units, now)
		n.mutex.Unlock()
		return poolAcquisition(granted, units, wait)
	}
	request := n.nextRequest()
	reply := q.poolAcquisitions.add(request)
	n.mutex.Unlock()
	n.transport.Send(host, dissemination.PoolAcquire{Request: request, Tenant: tenant, Units: units})
	acquired, ok := reply.await(ctx, &n.mutex, poolTimeout, func() { q.contributor.HostTimedOut(host, n.now()) })
	if !ok {
		return gateway.Acquisition{}
	}
	return poolAcquisition(acquired.Granted, units, acquired.Wait)
}

func poolAcquisition(granted bool, units float64, wait time.Duration) gateway.Acquisition {
	if !granted {
		units = 0
	}
	return gateway.Acquisition{Source: gateway.FromPool, Granted: units, RetryAfter: wait}
}
