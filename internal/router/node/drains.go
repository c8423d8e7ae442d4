package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/replication"
)

// pendingDrain is the drain or deregistration of a server. It is acknowledged once a majority of the core has received
// it. A router that is not a core member sets done alone, and waits for the acknowledgement of its home.
type pendingDrain struct {
	forwardedBy      string // internal address of the router that received the server's call; "" is this one
	forwardedRequest uint64 // request number at that router
	instance         registry.Instance
	acks             map[string]bool // by internal address of a core member; nil if the home is awaited
	done             chan struct{}   // closed on acknowledgement
}

// hasMajority reports whether a majority of the given members has acknowledged the drain.
func (d *pendingDrain) hasMajority(members []replication.Member) bool {
	count := 0
	for _, m := range members {
		if d.acks[m.Address] {
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

// startDrain applies a drain or deregistration at this core member and sends it to the other members. If another router
// forwarded the server's call, request is the number of the call at that router; otherwise forwardedBy is empty.
func (n *Node) startDrain(forwardedBy string, request uint64, instance registry.Instance, now time.Duration) *pendingDrain {
	n.applyServerHeartbeat(instance, now)
	ownRequest := n.nextRequest()
	acks := map[string]bool{n.self.Address: true}
	d := n.addPendingDrain(ownRequest, &pendingDrain{forwardedBy: forwardedBy, forwardedRequest: request, instance: instance, acks: acks})
	n.sendDrain(ownRequest, d)
	n.checkDrain(ownRequest, d)
	return d
}

// sendDrain sends a drain to the core members that have not acknowledged it yet.
func (n *Node) sendDrain(request uint64, d *pendingDrain) {
	for _, m := range n.control.view.Members {
		if !d.acks[m.Address] {
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

// receiveDrain applies a drain or deregistration sent by another core member, and acknowledges it.
func (n *Node) receiveDrain(from string, m dissemination.Drain, now time.Duration) {
	if !n.isCoreMember() {
		return
	}
	if n.registry.Merge(registry.Update{Instance: m.Instance}, now) {
		n.pushAll()
	}
	n.transport.Send(from, dissemination.DrainAck{Request: m.Request, View: n.control.view.Epoch})
}

// receiveDrainAck counts a member's acknowledgement. It ignores one from a later view than its own, because a majority of
// the members that it knows may not be a majority in that view. When it learns the view it sends the drain to the new
// members.
func (n *Node) receiveDrainAck(from string, m dissemination.DrainAck) {
	if n.control.view.Epoch.Less(m.View) {
		return
	}
	if d := n.drains[m.Request]; d != nil && d.acks != nil {
		d.acks[from] = true
		n.checkDrain(m.Request, d)
	}
}

// checkDrain acknowledges a drain if a majority of the core has acknowledged it.
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
