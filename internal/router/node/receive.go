package node

import (
	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/routetable"
)

// receive takes in a message of another sidecar.
func (n *Node) receive(from string, body any) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	switch m := body.(type) {
	case replication.Message:
		n.replica.Receive(from, m, now)
		n.carryOut()
		n.noteView(n.replica.View())
	case dissemination.SubscriptionHeartbeat:
		n.onSession(from, &m, now)
	case dissemination.Push:
		n.onPush(from, &m, now)
	case dissemination.PrefixReport:
		n.onUsed(from, m)
	case dissemination.LoadReport:
		n.onUnderWay(from, m, now)
	case dissemination.OutcomeReport:
		n.onOutcomes(from, m, now)
	case dissemination.OutcomeSums:
		n.onOutcomeSums(from, m, now)
	case dissemination.Ejections:
		n.onEjections(from, m)
	case dissemination.Readmit:
		n.onAdmit(from, m, now)
	case dissemination.ForwardedHeartbeat:
		n.onForwardedHeartbeat(from, m, now)
	case dissemination.HeartbeatAck:
		n.acknowledgeDrain(m.Request)
	case dissemination.Drain:
		n.onDrain(from, m, now)
	case dissemination.DrainAck:
		n.onDrainAck(from, m)
	case dissemination.QuotaRequest:
		n.onQuotaAsk(from, m)
	case dissemination.QuotaGrant:
		n.primaryHeard = now
		n.gateway.ApplyQuotaShares(m.Nonce, m.Shares)
	case dissemination.QuotaAcquire:
		n.onQuotaAcquire(from, m, now)
	case dissemination.QuotaAcquired:
		n.silentUntil, n.primaryHeard = 0, now
		if to := n.acquires[m.Request]; to != nil {
			delete(n.acquires, m.Request)
			to <- m
		}
	case dissemination.PoolOffer:
		n.onPoolOffer(from, now)
	case dissemination.PoolCollect:
		n.onPoolCollect(from, m, now)
	case dissemination.PoolDeposit:
		n.onPoolDeposit(from, m, now)
	case dissemination.PoolAcquire:
		n.onPoolTake(from, m, now)
	case dissemination.PoolAcquired:
		n.onPoolTaken(m)
	}
	n.tickSessions(now)
	n.apply()
}

// noteView takes in the newest view. A member of the core that is in touch with it has the whole list of servers where its disk
// had one.
func (n *Node) noteView(v replication.View) {
	if n.view.Epoch.Less(v.Epoch) {
		first := n.view.Epoch.Round == 0
		n.view = v
		n.silentUntil = 0
		n.replica.LearnView(v)
		if first {
			n.every.session.soon() // the core is known now: it subscribes at once
		}
		n.logger.Info().Uint64("round", v.Epoch.Round).Str("primary", v.PrimaryAddress()).Int("members", len(v.Members)).
			Int("in_sync", len(v.InSync)).Msg("view")
		n.respreadDrains()
		n.pushAll()
	}
	if !n.complete && n.cached && n.core() && n.replica.InTouch() {
		n.complete = true
		n.pushAll()
	}
	n.noteLead()
}

// carryOut takes in the replica's view, and does what it wants done.
func (n *Node) carryOut() {
	n.noteView(n.replica.View())
	for effects := n.replica.Effects(); len(effects) > 0; effects = n.replica.Effects() {
		for _, one := range effects {
			switch e := one.(type) {
			case replication.Send:
				n.transport.Send(e.To, e.Message)
			case replication.Save:
				n.disk.save(e)
			case replication.Publish:
				n.publish(e)
			case replication.Answer:
				if to := n.answers[e.Token]; to != nil {
					delete(n.answers, e.Token)
					to <- e.Decision
				}
			}
		}
	}
}

// saved is called by the disk's goroutine.
func (n *Node) saved(number uint64, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if err != nil {
		n.logger.Warn().Err(err).Msg("disk")
		n.replica.SaveFailed(number, n.now())
	} else {
		n.replica.Saved(number, n.now())
	}
	n.carryOut()
	n.apply()
}

// publish takes a committed configuration from the replica.
func (n *Node) publish(e replication.Publish) {
	n.current = true
	config, ok := e.Value.(*routetable.Config)
	if ok && n.versions.Commit(e.Position.Sequence, config, e.Entries) {
		n.pushAll()
	}
}
