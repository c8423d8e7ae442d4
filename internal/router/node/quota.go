package node

import (
	"context"
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/gateway"
	"petrelhook/internal/router/quota"
	"petrelhook/internal/router/settings"
)

// How long a request waits for the primary before its sidecar's lease decides.
const (
	acquireWait    = 60 * time.Millisecond
	primarySilence = 250 * time.Millisecond // for which a primary that did not answer is not asked again
)

// justStarted is for how long after its start a sidecar counts as new.
const justStarted = 5 * time.Second

// noteLead begins and ends this sidecar's term as the one that divides limits.
func (n *Node) noteLead() {
	if !n.replica.IsPrimary() {
		if n.replica.View().Primary != n.replica.Self.ID {
			n.allocator, n.tokenBuckets = nil, nil
		}
		return
	}
	if n.allocator != nil {
		return
	}
	now := n.now()
	b := n.settings.Bounds
	n.allocator = quota.NewAllocator(now)
	n.tokenBuckets = quota.NewTokenBuckets(quota.Bounds{Window: settings.Seconds(b.QuotaWindowS), Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack}, now < justStarted, now)
	n.setLimits()
}

// setLimits takes in the limits of the configuration in force.
func (n *Node) setLimits() {
	t := n.gateway.Table()
	if t == nil {
		return
	}
	limits := gateway.Limits(t)
	n.poolHost.pool.SetLimits(limits)
	if n.tokenBuckets != nil {
		n.tokenBuckets.SetLimits(limits)
	}
}

// leads reports whether this sidecar may divide limits now: it is primary, and a majority says so.
func (n *Node) leads() bool {
	return n.allocator != nil && n.replica.InTouch() && n.view.Primary == n.replica.Self.ID
}

func (n *Node) tickQuota(now time.Duration) {
	if n.view.PrimaryAddress() == "" || !n.every.quota.due(quotaEvery, now) {
		return
	}
	if n.leads() {
		reserve := quota.ReservedFraction(n.gateway.FleetSize(), n.allocator.ActiveClients(now), n.allocator.TermAge(now))
		n.allocator.SetReserve(reserve)
		n.tokenBuckets.SetReserve(reserve)
	}
	nonce, demand, held := n.gateway.RequestQuotaShares() // also where nothing is wanted: it tells that this sidecar hears the primary
	ask := dissemination.QuotaRequest{Nonce: nonce, Incarnation: n.life, Demand: demand, HeldShares: held}
	if n.leads() {
		n.onQuotaAsk(n.self.Address, ask)
		return
	}
	n.transport.Send(n.view.PrimaryAddress(), ask)
}

func (n *Node) onQuotaAsk(from string, m dissemination.QuotaRequest) {
	if !n.leads() {
		return
	}
	shares := n.allocator.Allocate(from, m.Incarnation, m.Demand, m.HeldShares, n.fleet, n.now())
	if from == n.self.Address {
		n.gateway.ApplyQuotaShares(m.Nonce, shares)
		return
	}
	n.transport.Send(from, dissemination.QuotaGrant{Nonce: m.Nonce, Shares: shares})
}

func (n *Node) onQuotaAcquire(from string, m dissemination.QuotaAcquire, now time.Duration) {
	if !n.leads() {
		return
	}
	given, wait := n.tokenBuckets.Acquire(m.Tenant, m.Need, m.Extra, now)
	n.transport.Send(from, dissemination.QuotaAcquired{Request: m.Request, Given: given, Wait: wait})
}

// Acquire implements gateway.Acquirer.
func (n *Node) Acquire(ctx context.Context, tenant string, need, extra float64) gateway.Acquisition {
	if acquired := n.acquireOfPrimary(ctx, tenant, need, extra); acquired.Source == gateway.FromPrimary || ctx.Err() != nil {
		return acquired
	}
	return n.acquireOfPool(ctx, tenant, need)
}

// acquireOfPrimary acquires units of the primary for a request of this sidecar. Of those that come while it is silent one, now and then,
// waits for it to speak again.
func (n *Node) acquireOfPrimary(ctx context.Context, tenant string, need, extra float64) gateway.Acquisition {
	answer := make(chan dissemination.QuotaAcquired, 1)
	n.mutex.Lock()
	if n.leads() {
		given, wait := n.tokenBuckets.Acquire(tenant, need, extra, n.now())
		n.mutex.Unlock()
		return gateway.Acquisition{Source: gateway.FromPrimary, Granted: given, RetryAfter: wait}
	}
	primary := n.view.PrimaryAddress()
	if primary == "" || primary == n.self.Address || n.now() < n.silentUntil {
		n.mutex.Unlock()
		return gateway.Acquisition{}
	}
	if n.silentUntil > 0 {
		n.silentUntil = n.now() + acquireWait
	}
	n.token++
	request := n.token
	n.acquires[request] = answer
	n.mutex.Unlock()
	n.transport.Send(primary, dissemination.QuotaAcquire{Request: request, Tenant: tenant, Need: need, Extra: extra})
	timer := time.NewTimer(acquireWait)
	defer timer.Stop()
	select {
	case acquired := <-answer:
		return gateway.Acquisition{Source: gateway.FromPrimary, Granted: acquired.Given, RetryAfter: acquired.Wait}
	case <-timer.C:
	case <-ctx.Done():
	}
	n.mutex.Lock()
	delete(n.acquires, request)
	if ctx.Err() == nil && primary == n.view.PrimaryAddress() {
		n.silentUntil = n.now() + primarySilence
	}
	n.mutex.Unlock()
	return gateway.Acquisition{}
}
