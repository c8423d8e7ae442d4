package node

import (
	"context"
	"time"

	"petrelhook/internal/dissemination"
	"petrelhook/internal/gateway"
	"petrelhook/internal/quota"
	"petrelhook/internal/settings"
)

// How long a request waits for the reservoir before its sidecar's lease decides.
const (
	drawWait    = 60 * time.Millisecond
	drawSilence = 250 * time.Millisecond // for which a reservoir that did not answer is not asked again
)

// justStarted is for how long after its start a sidecar counts as new.
const justStarted = 5 * time.Second

// noteLead begins and ends this sidecar's term as the one that divides limits.
func (n *Node) noteLead() {
	if !n.replica.Primary() {
		if n.replica.View().Primary != n.replica.Self.ID {
			n.allocator, n.reservoir = nil, nil
		}
		return
	}
	if n.allocator != nil {
		return
	}
	now := n.now()
	b := n.settings.Bounds
	n.allocator = quota.NewAllocator(now)
	n.reservoir = quota.NewReservoir(quota.Bounds{Window: settings.Seconds(b.QuotaWindowS), Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack}, now < justStarted, now)
	n.setReservoir()
}

// setReservoir takes in the limits of the configuration in force.
func (n *Node) setReservoir() {
	if t := n.gateway.Table(); t != nil && n.reservoir != nil {
		n.reservoir.SetLimits(gateway.Limits(t))
	}
}

// leads reports whether this sidecar may divide limits now: it is primary, and a majority says so.
func (n *Node) leads() bool {
	return n.allocator != nil && n.replica.InTouch() && n.view.Primary == n.replica.Self.ID
}

func (n *Node) tickQuota(now time.Duration) {
	if now-n.lastQuota < quotaEvery || n.view.PrimaryAddress() == "" {
		return
	}
	n.lastQuota = now
	nonce, demand, held := n.gateway.AskQuota()
	if len(demand) == 0 {
		return
	}
	ask := dissemination.QuotaAsk{Nonce: nonce, Life: n.life, Demand: demand, Held: held}
	if n.leads() {
		n.onQuotaAsk(n.self.Address, ask)
		return
	}
	n.transport.Send(n.view.PrimaryAddress(), ask)
}

func (n *Node) onQuotaAsk(from string, m dissemination.QuotaAsk) {
	if !n.leads() {
		return
	}
	shares := n.allocator.Ask(from, m.Life, m.Demand, m.Held, n.fleet, n.now())
	if from == n.self.Address {
		n.gateway.QuotaGranted(m.Nonce, shares)
		return
	}
	n.transport.Send(from, dissemination.QuotaGrant{Nonce: m.Nonce, Shares: shares})
}

func (n *Node) onQuotaDraw(from string, m dissemination.QuotaDraw, now time.Duration) {
	if !n.leads() {
		return
	}
	given, wait := n.reservoir.Draw(m.Tenant, m.Need, m.Extra, now)
	n.transport.Send(from, dissemination.QuotaDrawn{Request: m.Request, Given: given, Wait: wait})
}

// Draw draws from the reservoir for a request of this sidecar.
func (n *Node) Draw(ctx context.Context, tenant string, need, extra float64) (given float64, wait time.Duration, ok bool) {
	answer := make(chan dissemination.QuotaDrawn, 1)
	n.mutex.Lock()
	if n.leads() {
		given, wait = n.reservoir.Draw(tenant, need, extra, n.now())
		n.mutex.Unlock()
		return given, wait, true
	}
	primary := n.view.PrimaryAddress()
	if primary == "" || primary == n.self.Address || n.now() < n.silentUntil {
		n.mutex.Unlock()
		return 0, 0, false
	}
	n.token++
	request := n.token
	n.draws[request] = answer
	n.mutex.Unlock()
	n.transport.Send(primary, dissemination.QuotaDraw{Request: request, Tenant: tenant, Need: need, Extra: extra})
	timer := time.NewTimer(drawWait)
	defer timer.Stop()
	select {
	case drawn := <-answer:
		return drawn.Given, drawn.Wait, true
	case <-timer.C:
	case <-ctx.Done():
	}
	n.mutex.Lock()
	delete(n.draws, request)
	if ctx.Err() == nil && primary == n.view.PrimaryAddress() {
		n.silentUntil = n.now() + drawSilence
	}
	n.mutex.Unlock()
	return 0, 0, false
}
