package node

import (
	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/replication"
)

// receive is the transport's handler of messages from other routers. It passes each message to the method for its type
// and ignores messages of unknown types. After any message it sends the heartbeats that are due and applies the changes to
// the gateway. It acquires the lock.
func (n *Node) receive(from string, body any) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	switch m := body.(type) {
	case replication.Message:
		n.receiveReplication(from, m, now)
	case dissemination.SubscriptionHeartbeat:
		n.receiveSubscriptionHeartbeat(from, &m, now)
	case dissemination.Push:
		n.receivePush(from, &m, now)
	case dissemination.PrefixReport:
		n.receivePrefixReport(from, m)
	case dissemination.LoadReport:
		n.receiveLoadReport(from, m, now)
	case dissemination.OutcomeReport:
		n.receiveOutcomeReport(from, m, now)
	case dissemination.OutcomeSums:
		n.receiveOutcomeSums(from, m, now)
	case dissemination.Ejections:
		n.receiveEjections(from, m)
	case dissemination.Readmit:
		n.receiveReadmit(from, m, now)
	case dissemination.ForwardedHeartbeat:
		n.receiveForwardedHeartbeat(from, m, now)
	case dissemination.ForwardedHeartbeatAck:
		n.acknowledgeDrain(m.Request)
	case dissemination.Drain:
		n.receiveDrain(from, m, now)
	case dissemination.DrainAck:
		n.receiveDrainAck(from, m)
	case dissemination.QuotaRequest:
		n.receiveQuotaRequest(from, m)
	case dissemination.QuotaGrant:
		n.receiveQuotaGrant(m, now)
	case dissemination.QuotaAcquire:
		n.receiveQuotaAcquire(from, m, now)
	case dissemination.QuotaAcquired:
		n.receiveQuotaAcquired(m, now)
	case dissemination.PoolOffer:
		n.receivePoolOffer(from, now)
	case dissemination.PoolCollect:
		n.receivePoolCollect(from, m, now)
	case dissemination.PoolDeposit:
		n.receivePoolDeposit(from, m, now)
	case dissemination.PoolAcquire:
		n.receivePoolAcquire(from, m, now)
	case dissemination.PoolAcquired:
		n.quotas.poolAcquisitions.deliver(m.Request, m)
	}
	n.tickSessions(now)
	n.apply()
}
