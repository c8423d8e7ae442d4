package node

import (
	"context"
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/gateway"
)

// poolTimeout bounds how long a client request waits for the answer of a pool, whose host may ask the primary first.
const poolTimeout = 100 * time.Millisecond

// tickPool requests deposits for the pool hosted here, and offers this router's deposit to a pool while the router has no
// contact with the primary.
func (n *Node) tickPool(now time.Duration) {
	for _, address := range n.quotas.pool.DueForCollection(now) {
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
	entry := n.logger.Info().Str("pool", n.quotas.contributor.Host())
	if lost {
		entry.Msg("primary contact lost")
		return
	}
	entry.Msg("primary contact restored")
}

// offerDeposit offers this router's deposit to the host of a pool, unless that has requested it recently. It does nothing
// while no other router could share a pool.
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

// receivePoolOffer records a router's offer and requests its deposit. A router that is not a core member ignores offers.
func (n *Node) receivePoolOffer(from string, now time.Duration) {
	if !n.isCoreMember() {
		return
	}
	n.quotas.pool.ReceiveOffer(from, now)
	n.collectDeposit(from, now)
}

// collectDeposit requests a router's deposit under a new nonce. Only the answer with this nonce is accepted, and its
// validity counts from now on.
func (n *Node) collectDeposit(from string, now time.Duration) {
	m := dissemination.PoolCollect{Nonce: n.nextRequest()}
	n.quotas.pool.Collect(from, m.Nonce, now)
	if from == n.self.Address {
		n.receivePoolCollect(from, m, now)
		return
	}
	n.transport.Send(from, m)
}

// receivePoolCollect answers a host's request with this router's deposit. The deposit is empty once the router has contact
// with a primary, and for a host that the router did not choose.
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

// receivePoolAcquire spends units of the pool hosted here for a client request at another router. If the pool does not
// have enough, and this router has contact with the primary, it asks the primary instead.
func (n *Node) receivePoolAcquire(from string, m dissemination.PoolAcquire, now time.Duration) {
	granted, wait := n.quotas.pool.Acquire(m.Tenant, m.Units, now)
	answer := dissemination.PoolAcquired{Request: m.Request, Granted: granted, Wait: wait}
	if granted || n.lacksPrimary(now) {
		n.transport.Send(from, answer)
		return
	}
	go n.answerFromPrimary(from, m, answer) // returns within poolTimeout
}

// answerFromPrimary answers a request for units with what the primary grants, or with the given answer if the primary does
// not respond in time. It runs in a goroutine of its own and acquires the lock.
func (n *Node) answerFromPrimary(to string, m dissemination.PoolAcquire, answer dissemination.PoolAcquired) {
	ctx, cancel := context.WithTimeout(context.Background(), poolTimeout)
	defer cancel()
	if acquired := n.acquireFromPrimary(ctx, m.Tenant, m.Units, 0); acquired.Source == gateway.FromPrimary {
		answer.Granted, answer.Wait = acquired.Granted >= m.Units, acquired.RetryAfter
	}
	n.transport.Send(to, answer)
}

// acquireFromPool acquires units from the pool that holds this router's deposit. Its result has the source FromNone if
// there is no such pool or its host does not answer in time. It acquires the lock.
func (n *Node) acquireFromPool(ctx context.Context, tenant string, units float64) gateway.Acquisition {
	own, reply, host := n.beginPoolAcquisition(tenant, units)
	if host == "" {
		return own
	}
	n.transport.Send(host, dissemination.PoolAcquire{Request: reply.request, Tenant: tenant, Units: units})
	acquired, ok := reply.await(ctx, &n.mutex, poolTimeout, func() { n.quotas.contributor.HostTimedOut(host, n.now()) })
	if !ok {
		return gateway.Acquisition{}
	}
	return poolAcquisition(acquired.Granted, units, acquired.Wait)
}

// beginPoolAcquisition acquires units from a pool at this router, or records a request to the host of another one. Without a host the
// result is own. It acquires the lock.
func (n *Node) beginPoolAcquisition(tenant string, units float64) (own gateway.Acquisition, reply pendingReply[dissemination.PoolAcquired], host string) {
	q := &n.quotas
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	n.offerDeposit(now)
	if !q.contributor.Active(now) {
		return own, reply, ""
	}
	host = q.contributor.Host()
	if host == n.self.Address {
		granted, wait := q.pool.Acquire(tenant, units, now)
		return poolAcquisition(granted, units, wait), reply, ""
	}
	return own, q.poolAcquisitions.add(n.nextRequest()), host
}

// poolAcquisition returns the result of a request for units from a pool, which grants all of them or none.
func poolAcquisition(granted bool, units float64, wait time.Duration) gateway.Acquisition {
	if !granted {
		units = 0
	}
	return gateway.Acquisition{Source: gateway.FromPool, Granted: units, RetryAfter: wait}
}
