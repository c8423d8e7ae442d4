package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/replication"
)

// pendingDrain is the drain or deregistration of a server. It is acknowledged once a majority of the core has it on disk.
// A router that is not a core member sets done alone, and waits for the acknowledgement of its home.
type pendingDrain struct {
	forwardedBy      string // internal address of the router that received the server's call; "" is this one
	forwardedRequest uint64 // request number at that router
	instance         registry.Instance
	acks             map[string]bool // by ID of a core member, which stands for its disk; nil if the home is awaited
	done             chan struct{}   // closed on acknowledgement
}

// hasMajority reports whether a majority of the given members has acknowledged the drain.
func (d *pendingDrain) hasMajority(members []replication.Member) bool {
	count := 0
	for _, m := range members {
		if d.acks[m.ID] {
			count++
		}
	}
	return count > len(members)/2
}

// addPendingDrain records a drain under its request number. The entry is removed on acknowledgement, or after twice the
// drain timeout, when no caller can be waiting for it any more.
func (n *Node) addPendingDrain(request uint64, d *pendingDrain) *pendingDrain {
	d.done = make(chan struct{})
	n.drains[request] = d
	time.AfterFunc(2*drainTimeout, func() { n.forgetDrain(request) })
	return d
}

// forgetDrain removes a drain that was not acknowledged in time. It runs in a goroutine of its timer, and acquires the
// lock.
func (n *Node) forgetDrain(request uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.drains, request)
}

// startDrain applies a drain or deregistration at this core member, sends it to the other members and writes it to the disk.
// If another router forwarded the server's call, request is the number of the call at that router; otherwise forwardedBy is
// empty.
func (n *Node) startDrain(forwardedBy string, request uint64, instance registry.Instance, now time.Duration) *pendingDrain {
	n.applyServerHeartbeat(instance, now)
	ownRequest := n.nextRequest()
	d := n.addPendingDrain(ownRequest, &pendingDrain{forwardedBy: forwardedBy, forwardedRequest: request, instance: instance,
		acks: map[string]bool{}})
	n.sendDrain(ownRequest, d)
	n.acknowledgeWhenDurable(pendingAck{id: instance.ID, state: instance.State, request: ownRequest, createdAt: now})
	return d
}

// sendDrain sends a drain to the core members that have not acknowledged it yet.
func (n *Node) sendDrain(request uint64, d *pendingDrain) {
	for _, m := range n.control.view.Members {
		if !d.acks[m.ID] && m.ID != n.self.Member.ID {
			n.transport.Send(m.Address, dissemination.Drain{Request: request, Instance: d.instance})
		}
	}
}

// resendDrains sends the pending drains to the members of a new view, since a majority of these has to acknowledge them.
func (n *Node) resendDrains() {
	for request, d := range n.drains {
		if d.acks != nil {
			n.sendDrain(request, d)
		}
	}
}

// receiveDrain applies a drain or deregistration sent by another core member, and acknowledges it once it is on the disk.
func (n *Node) receiveDrain(from string, m dissemination.Drain, now time.Duration) {
	if !n.isCoreMember() {
		return
	}
	if n.registry.Merge(registry.Update{Instance: m.Instance}, now) {
		n.pushAll()
	}
	n.acknowledgeWhenDurable(pendingAck{id: m.Instance.ID, state: m.Instance.State, member: from, request: m.Request, createdAt: now})
}

// receiveDrainAck counts a member's acknowledgement. It ignores one from a later view than its own, because a majority of
// the members that it knows may not be a majority in that view. When it learns the view it sends the drain to the new
// members.
func (n *Node) receiveDrainAck(from string, m dissemination.DrainAck) {
	if n.control.view.Epoch.Less(m.View) {
		return
	}
	if member := n.control.memberAt(from); member != nil {
		n.countDrainAck(m.Request, member.ID)
	}
}

// countDrainAck records that a core member has a drain on its disk.
func (n *Node) countDrainAck(request uint64, memberID string) {
	if d := n.drains[request]; d != nil && d.acks != nil {
		d.acks[memberID] = true
		n.checkDrain(request, d)
	}
}

// checkDrain acknowledges a drain if a majority of the core has it on disk.
func (n *Node) checkDrain(request uint64, d *pendingDrain) {
	if !d.hasMajority(n.control.view.Members) {
		return
	}
	if d.forwardedBy != "" {
		n.transport.Send(d.forwardedBy, dissemination.ForwardedHeartbeatAck{Request: d.forwardedRequest})
	}
	n.acknowledgeDrain(request)
}

// acknowledgeDrain releases the server's call that waits for a drain. It is also called for a ForwardedHeartbeatAck from
// the home.
func (n *Node) acknowledgeDrain(request uint64) {
	if d := n.drains[request]; d != nil {
		close(d.done)
		delete(n.drains, request)
	}
}
