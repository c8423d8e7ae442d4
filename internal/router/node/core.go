package node

import (
	"context"
	"net/http"
	"slices"
	"time"

	"petrelhook/internal/router/operatorapi"
	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/routetable"
)

// controlPlane is the state of a router's replica of the configuration. A router that cannot be a core member has a
// replica as well: a witness, which stores nothing and only follows the view.
type controlPlane struct {
	replica  *replication.Replica // nil until createReplica
	register *operatorapi.Register
	disk     *diskWriter // nil on a witness
	view     replication.View
	eligible map[string]replication.Member // routers known to be able to become core members, by ID

	decisions    pendingReplies[replication.Decision] // awaited by HTTP calls
	inTouchSince time.Duration                        // start of the present contact with a majority; negative without contact
}

func newControlPlane() controlPlane {
	return controlPlane{register: operatorapi.NewRegister(), eligible: map[string]replication.Member{},
		decisions: pendingReplies[replication.Decision]{}, inTouchSince: -1}
}

// memberAt returns the core member at an internal address in the current view, or nil.
func (c *controlPlane) memberAt(address string) *replication.Member {
	i := slices.IndexFunc(c.view.Members, func(m replication.Member) bool { return m.Address == address })
	if i < 0 {
		return nil
	}
	return &c.view.Members[i]
}

// isMember reports whether the current view names the router at an internal address as a core member.
func (c *controlPlane) isMember(address string) bool { return c.memberAt(address) != nil }

// isCoreMember reports whether the newest view that this router knows names it as a core member.
func (n *Node) isCoreMember() bool {
	return n.self.Member != nil && n.control.view.Member(n.self.Member.ID) != nil
}

// hasCoreContact reports whether this router has contact with a majority of the core, directly or through its home.
func (n *Node) hasCoreContact(now time.Duration) bool {
	if n.isCoreMember() {
		return n.control.replica.HasContact()
	}
	return n.subscription.home.HasQuorumContact(now)
}

// addEligible records that a router can become a core member.
func (n *Node) addEligible(m replication.Member) {
	n.control.eligible[m.ID] = m
	n.control.replica.AddEligible(m)
}

// receiveReplication passes a message to the replica and performs the effects that result.
func (n *Node) receiveReplication(from string, m replication.Message, now time.Duration) {
	n.control.replica.Receive(from, m, now)
	n.performEffects()
	n.applyView(n.control.replica.View())
}

// performEffects applies the replica's view, then performs the replica's effects until it has none left.
func (n *Node) performEffects() {
	n.applyView(n.control.replica.View())
	for effects := n.control.replica.Effects(); len(effects) > 0; effects = n.control.replica.Effects() {
		for _, effect := range effects {
			n.performEffect(effect)
		}
	}
}

func (n *Node) performEffect(effect replication.Effect) {
	switch e := effect.(type) {
	case replication.Send:
		n.transport.Send(e.To, e.Message)
	case replication.Save:
		n.control.disk.save(e)
	case replication.Publish:
		n.publish(e)
	case replication.Answer:
		n.control.decisions.deliver(e.Token, e.Decision)
	}
}

// saved passes the result of a save to the replica. The goroutine of the diskWriter calls it. It acquires the lock.
func (n *Node) saved(number uint64, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if err != nil {
		n.logger.Warn().Err(err).Msg("state not saved to disk")
		n.control.replica.SaveFailed(number, n.now())
	} else {
		n.control.replica.Saved(number, n.now())
	}
	n.performEffects()
	n.apply()
}

// publish adopts a configuration that the replica has found to be committed, and pushes it to the subscribers.
func (n *Node) publish(e replication.Publish) {
	n.subscription.configCurrent = true
	config, ok := e.Value.(*routetable.Config)
	if ok && n.subscription.versions.Commit(e.Position.Sequence, config, e.Entries) {
		n.pushAll()
	}
}

// applyView adopts a view if it is newer than the current one. It is called after every event of the replica as well,
// because contact with the core and the role of primary can change within a view.
func (n *Node) applyView(v replication.View) {
	if n.control.view.Epoch.Less(v.Epoch) {
		n.adoptView(v)
	}
	// A core member that loaded the servers from its disk has the complete list once it has contact with a majority: the
	// others push all later changes to it.
	if !n.subscription.serversComplete && n.serversCache.loaded && n.isCoreMember() && n.control.replica.HasContact() {
		n.subscription.serversComplete = true
		n.pushAll()
	}
	n.updateQuotaTerm()
}

// adoptView replaces the view, resends the pending drains to its members, and pushes it to the subscribers.
func (n *Node) adoptView(v replication.View) {
	first := n.control.view.Epoch.Round == 0
	n.control.view = v
	n.quotas.primary.viewChanged()
	n.control.replica.LearnView(v)
	if first {
		n.timers.sessions.expire() // the core has become known: subscribe at once
	}
	n.logger.Info().Uint64("round", v.Epoch.Round).Str("primary", v.PrimaryAddress()).Int("members", len(v.Members)).
		Int("in_sync", len(v.InSync)).Msg("view changed")
	n.resendDrains()
	n.pushAll()
}

// decide passes a request to the replica and waits for its decision. propose is called with the lock held; it makes the
// request under the number that the replica's answer will carry. If no decision comes within timeout, the returned status
// is 503 and it is unknown whether the request was accepted. decide is called without the lock, and acquires it.
func (n *Node) decide(timeout time.Duration, propose func(request uint64)) replication.Decision {
	var decision pendingReply[replication.Decision]
	n.withLock(func() {
		request := n.nextRequest()
		decision = n.control.decisions.add(request)
		propose(request)
		n.performEffects()
		n.apply()
	})
	if d, ok := decision.await(context.Background(), &n.mutex, timeout, nil); ok {
		return d
	}
	return replication.Decision{Status: http.StatusServiceUnavailable, Reason: "no answer of the core in time"}
}
