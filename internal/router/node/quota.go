package node

import (
	"context"
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/gateway"
	"petrelhook/internal/router/proximity"
	"petrelhook/internal/router/quota"
	"petrelhook/internal/router/quotapool"
	"petrelhook/internal/router/settings"
)

// quotaInterval is the time between two requests for shares.
const quotaInterval = 500 * time.Millisecond

// quotas is the state by which a router takes part in dividing tenants' limits among routers: through the primary, and
// through pools of routers that have no contact with the primary.
type quotas struct {
	allocator    *quota.Allocator // non-nil on the primary during its term
	tokenBuckets *quota.TokenBuckets

	acquisitions pendingReplies[dissemination.QuotaAcquired] // awaited by client requests
	primary      primaryContact
	lostPrimary  bool // as last logged

	pool             *quotapool.Host
	contributor      *quotapool.Contributor
	poolAcquisitions pendingReplies[dissemination.PoolAcquired] // awaited by client requests
}

func newQuotas(locality proximity.Locality) quotas {
	return quotas{acquisitions: pendingReplies[dissemination.QuotaAcquired]{}, pool: quotapool.NewHost(),
		contributor: quotapool.NewContributor(locality), poolAcquisitions: pendingReplies[dissemination.PoolAcquired]{}}
}

// updateQuotaTerm creates the allocator and the token buckets when this router becomes primary, and removes them when
// another router does.
func (n *Node) updateQuotaTerm() {
	q := &n.quotas
	if !n.control.replica.IsPrimary() {
		if n.control.replica.View().Primary != n.control.replica.Self.ID {
			q.allocator, q.tokenBuckets = nil, nil
		}
		return
	}
	if q.allocator != nil {
		return
	}
	now := n.now()
	b := n.settings.Bounds
	q.allocator = quota.NewAllocator(now)
	bounds := quota.Bounds{Window: settings.Seconds(b.QuotaWindowS), Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack}
	q.tokenBuckets = quota.NewTokenBuckets(bounds, now < startupPeriod, now)
	n.setLimits()
}

// setLimits passes the limits of the configuration in force to the pool and, on the primary, to the token buckets.
func (n *Node) setLimits() {
	table := n.gateway.Table()
	if table == nil {
		return
	}
	limits := gateway.Limits(table)
	n.quotas.pool.SetLimits(limits)
	if n.quotas.tokenBuckets != nil {
		n.quotas.tokenBuckets.SetLimits(limits)
	}
}

// allocatesQuota reports whether this router may allocate quota now: it is the primary and has contact with a majority.
func (n *Node) allocatesQuota() bool {
	return n.quotas.allocator != nil && n.control.replica.HasContact() && n.control.view.Primary == n.control.replica.Self.ID
}

// lacksPrimary reports whether this router has no contact with a primary.
func (n *Node) lacksPrimary(now time.Duration) bool {
	if n.allocatesQuota() {
		return false
	}
	return n.control.view.PrimaryAddress() == "" || n.quotas.primary.lost(now)
}

// tickQuota requests shares from the primary. It does so even without demand, to keep contact with the primary.
func (n *Node) tickQuota(now time.Duration) {
	primary := n.control.view.PrimaryAddress()
	if primary == "" || !n.timers.quotas.elapsed(quotaInterval, now) {
		return
	}
	if n.allocatesQuota() {
		allocator := n.quotas.allocator
		reserve := quota.ReservedFraction(n.gateway.FleetSize(), allocator.ActiveClients(now), allocator.TermAge(now))
		allocator.SetReserve(reserve)
		n.quotas.tokenBuckets.SetReserve(reserve)
	}
	shareRequest := n.gateway.RequestQuotaShares()
	request := dissemination.QuotaRequest{
		Nonce:       shareRequest.Nonce,
		Incarnation: n.self.Incarnation,
		Demand:      shareRequest.Demand,
		HeldShares:  shareRequest.Held,
	}
	if n.allocatesQuota() {
		n.receiveQuotaRequest(n.self.Address, request)
		return
	}
	n.transport.Send(primary, request)
}

// receiveQuotaRequest allocates a router its shares and sends them. Only the primary answers.
func (n *Node) receiveQuotaRequest(from string, m dissemination.QuotaRequest) {
	if !n.allocatesQuota() {
		return
	}
	request := quota.ShareRequest{Nonce: m.Nonce, Demand: m.Demand, Held: m.HeldShares}
	shares := n.quotas.allocator.Allocate(from, m.Incarnation, request, n.fleetSize, n.now())
	if from == n.self.Address {
		n.gateway.ApplyQuotaShares(m.Nonce, shares)
		return
	}
	n.transport.Send(from, dissemination.QuotaGrant{Nonce: m.Nonce, Shares: shares})
}

// receiveQuotaGrant adopts the shares granted by the primary.
func (n *Node) receiveQuotaGrant(m dissemination.QuotaGrant, now time.Duration) {
	n.quotas.primary.sharesGranted(now)
	n.gateway.ApplyQuotaShares(m.Nonce, m.Shares)
}

// receiveQuotaAcquire answers a router's request for units. Only the primary answers.
func (n *Node) receiveQuotaAcquire(from string, m dissemination.QuotaAcquire, now time.Duration) {
	if !n.allocatesQuota() {
		return
	}
	given, wait := n.quotas.tokenBuckets.Acquire(m.Tenant, m.Need, m.Extra, now)
	n.transport.Send(from, dissemination.QuotaAcquired{Request: m.Request, Given: given, Wait: wait})
}

// receiveQuotaAcquired passes the primary's answer to the client request that awaits it.
func (n *Node) receiveQuotaAcquired(m dissemination.QuotaAcquired, now time.Duration) {
	n.quotas.primary.requestAnswered(now)
	n.quotas.acquisitions.deliver(m.Request, m)
}

// Acquire implements gateway.Acquirer: it acquires units from the primary or, if that does not answer in time, from a
// pool. It may be called from any goroutine; it acquires the lock, and releases it while it waits.
func (n *Node) Acquire(ctx context.Context, tenant string, need, extra float64) gateway.Acquisition {
	if acquired := n.acquireFromPrimary(ctx, tenant, need, extra); acquired.Source == gateway.FromPrimary || ctx.Err() != nil {
		return acquired
	}
	return n.acquireFromPool(ctx, tenant, need)
}

// acquireFromPrimary acquires units from the primary for a client request. Its result has the source FromNone if the
// primary does not answer in time. While the primary does not answer, only one request in each primaryRetryDelay waits for
// it. It acquires the lock.
func (n *Node) acquireFromPrimary(ctx context.Context, tenant string, need, extra float64) gateway.Acquisition {
	own, reply, primary := n.beginPrimaryAcquisition(tenant, need, extra)
	if primary == "" {
		return own
	}
	n.transport.Send(primary, dissemination.QuotaAcquire{Request: reply.request, Tenant: tenant, Need: need, Extra: extra})
	acquired, ok := reply.await(ctx, &n.mutex, acquireTimeout, func() {
		if primary == n.control.view.PrimaryAddress() {
			n.quotas.primary.requestTimedOut(n.now())
		}
	})
	if !ok {
		return gateway.Acquisition{}
	}
	return gateway.Acquisition{Source: gateway.FromPrimary, Granted: acquired.Given, RetryAfter: acquired.Wait}
}

// beginPrimaryAcquisition acquires units at this router, if it is the primary, or records a request to the primary. Without a primary to send
// it to the result is own. It acquires the lock.
func (n *Node) beginPrimaryAcquisition(tenant string, need, extra float64) (
	own gateway.Acquisition, reply pendingReply[dissemination.QuotaAcquired], primary string) {
	q := &n.quotas
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.allocatesQuota() {
		given, wait := q.tokenBuckets.Acquire(tenant, need, extra, n.now())
		return gateway.Acquisition{Source: gateway.FromPrimary, Granted: given, RetryAfter: wait}, reply, ""
	}
	primary = n.control.view.PrimaryAddress()
	if primary == "" || primary == n.self.Address || q.primary.avoided(n.now()) {
		return own, reply, ""
	}
	q.primary.requestSent(n.now())
	return own, q.acquisitions.add(n.nextRequest()), primary
}
