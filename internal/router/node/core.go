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

// controlPlane is a router's part in the replicated configuration. A router that cannot be a core member has a replica
// too: a witness, which stores nothing and follows the view.
type controlPlane struct {
	replica  *replication.Replica // nil until open
	register *operatorapi.Register
	disk     *diskWriter // nil at a witness
	view     replication.View
	eligible map[string]replication.Member // who can be a core member, as far as known, by ID

	decisions    pendingReplies[replication.Decision] // that HTTP calls wait for
	inTouchSince time.Duration                        // in contact with a majority since then; negative: it is not
}

func newControlPlane() controlPlane {
	return controlPlane{register: operatorapi.NewRegister(), eligible: map[string]replication.Member{},
		decisions: pendingReplies[replication.Decision]{}, inTouchSince: -1}
}

// isMember reports whether the router at an internal address is a core member.
func (c *controlPlane) isMember(address string) bool {
	return slices.ContainsFunc(c.view.Members, func(m replication.Member) bool { return m.Address == address })
}

// isCoreMember reports whether this router is a core member, as far as it knows.
func (n *Node) isCoreMember() bool {
	return n.self.Member != nil && n.control.view.Member(n.self.Member.ID) != nil
}

// hasCoreContact reports whether this router has contact with a majority of the core, itself or by way of its home.
func (n *Node) hasCoreContact(now time.Duration) bool {
	if n.isCoreMember() {
		return n.control.replica.InTouch()
	}
	return n.subscription.home.InTouch(now)
}

// addEligible records that a router can be a core member.
func (n *Node) addEligible(m replication.Member) {
	n.control.eligible[m.ID] = m
	n.control.replica.AddEligible(m)
}

// receiveReplication passes a message to the replica.
func (n *Node) receiveReplication(from string, m replication.Message, now time.Duration) {
	n.control.replica.Receive(from, m, now)
	n.performEffects()
	n.applyView(n.control.replica.View())
}

// performEffects applies the replica's view and performs the effects that it wants.
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

// saved is called by the disk's goroutine when a save has ended. It acquires the lock.
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

// publish adopts a configuration that the replica knows to be committed.
func (n *Node) publish(e replication.Publish) {
	n.subscription.configCurrent = true
	config, ok := e.Value.(*routetable.Config)
	if ok && n.subscription.versions.Commit(e.Position.Sequence, config, e.Entries) {
		n.pushAll()
	}
}

// applyView adopts a view where it is newer. It is called at every event too, because what follows from contact with
// the core and from being primary changes within a view.
func (n *Node) applyView(v replication.View) {
	if n.control.view.Epoch.Less(v.Epoch) {
		n.adoptView(v)
	}
	// A core member whose disk had the servers has the complete list, once it is in contact: all that changed since is
	// pushed to it.
	if !n.subscription.serversComplete && n.serversCache.loaded && n.isCoreMember() && n.control.replica.InTouch() {
		n.subscription.serversComplete = true
		n.pushAll()
	}
	n.updateQuotaTerm()
}

func (n *Node) adoptView(v replication.View) {
	first := n.control.view.Epoch.Round == 0
	n.control.view = v
	n.quotas.primary.viewChanged()
	n.control.replica.LearnView(v)
	if first {
		n.timers.sessions.expire() // the core is known now: this router subscribes at once
	}
	n.logger.Info().Uint64("round", v.Epoch.Round).Str("primary", v.PrimaryAddress()).Int("members", len(v.Members)).
		Int("in_sync", len(v.InSync)).Msg("view changed")
	n.resendDrains()
	n.pushAll()
}

// decide passes a request to the replica by propose, which is called with the lock held and the number by which the
// replica answers, and waits for its decision. Without one in time the status is 503: the request may have been
// accepted or not. It acquires the lock.
func (n *Node) decide(timeout time.Duration, propose func(request uint64)) replication.Decision {
	n.mutex.Lock()
	request := n.nextRequest()
	decision := n.control.decisions.add(request)
	propose(request)
	n.performEffects()
	n.apply()
	n.mutex.Unlock()
	if d, ok := decision.await(context.Background(), &n.mutex, timeout, nil); ok {
		return d
	}
	return replication.Decision{Status: http.StatusServiceUnavailable, Reason: "no answer of the core in time"}
}
