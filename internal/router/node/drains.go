package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/replication"
)

// pendingDrain is the drain or end of a server that is acknowledged once a majority of the core has it. On a router
// that is no core member only done is set: it waits for its home.
type pendingDrain struct {
	forwardedBy string // internal address of the router that the server called; "" is this one
	request     uint64 // of that router
	instance    registry.Instance
	acks        map[string]bool // by the internal address of a core member; nil where the home is waited for
	done        chan struct{}   // closed once it is acknowledged
}

// hasMajority reports whether a majority of members has acknowledged the drain.
func (d *pendingDrain) hasMajority(members []replication.Member) bool {
	count := 0
	for _, m := range members {
		if d.acks[m.Address] {
			count++
		}
	}
	return count > len(members)/2
}

// addPendingDrain records a drain by the number of the request for it, until it is acknowledged or nobody can be
// waiting for it any more.
func (n *Node) addPendingDrain(request uint64, d *pendingDrain) *pendingDrain {
	d.done = make(chan struct{})
	n.drains[request] = d
	time.AfterFunc(2*drainTimeout, func() { n.forgetDrain(request) })
	return d
}

// forgetDrain removes a drain that was not acknowledged in time. It acquires the lock.
func (n *Node) forgetDrain(request uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.drains, request)
}

// startDrain applies a drain or end at this core member and sends it to the others. Where another router forwarded the
// server's call, request is its number there.
func (n *Node) startDrain(forwardedBy string, request uint64, instance registry.Instance, now time.Duration) *pendingDrain {
	n.applyServerHeartbeat(instance, now)
	own := n.nextRequest()
	acks := map[string]bool{n.self.Address: true}
	d := n.addPendingDrain(own, &pendingDrain{forwardedBy: forwardedBy, request: request, instance: instance, acks: acks})
	n.sendDrain(own, d)
	n.checkDrain(own, d)
	return d
}

// sendDrain sends a drain to the core members that have not acknowledged it.
func (n *Node) sendDrain(request uint64, d *pendingDrain) {
	for _, m := range n.control.view.Members {
		if !d.acks[m.Address] {
			n.transport.Send(m.Address, dissemination.Drain{Request: request, Instance: d.instance})
		}
	}
}

// resendDrains sends the pending drains to the members of a new view: a majority of these has to have them.
func (n *Node) resendDrains() {
	for request, d := range n.drains {
		if d.acks != nil {
			n.sendDrain(request, d)
		}
	}
}

// receiveDrain applies a drain or end that another core member sends.
func (n *Node) receiveDrain(from string, m dissemination.Drain, now time.Duration) {
	if !n.isCoreMember() {
		return
	}
	if n.registry.Merge(registry.Update{Instance: m.Instance}, now) {
		n.pushAll()
	}
	n.transport.Send(from, dissemination.DrainAck{Request: m.Request, View: n.control.view.Epoch})
}

// receiveDrainAck counts a member's acknowledgement. One from a later view is ignored: this router's majority may be
// none in that view. It will learn the view, and send the drain to its members.
func (n *Node) receiveDrainAck(from string, m dissemination.DrainAck) {
	if n.control.view.Epoch.Less(m.View) {
		return
	}
	if d := n.drains[m.Request]; d != nil && d.acks != nil {
		d.acks[from] = true
		n.checkDrain(m.Request, d)
	}
}

// checkDrain acknowledges a drain once a majority of the core has it.
func (n *Node) checkDrain(request uint64, d *pendingDrain) {
	if !d.hasMajority(n.control.view.Members) {
		return
	}
	if d.forwardedBy != "" {
		n.transport.Send(d.forwardedBy, dissemination.ForwardedHeartbeatAck{Request: d.request})
	}
	n.acknowledgeDrain(request)
}

// acknowledgeDrain has the server's call answered that waits for a drain. It is also called for the home's
// ForwardedHeartbeatAck.
func (n *Node) acknowledgeDrain(request uint64) {
	if d := n.drains[request]; d != nil {
		close(d.done)
		delete(n.drains, request)
	}
}
