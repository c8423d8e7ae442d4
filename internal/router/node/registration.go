package node

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/settings"
)

// pendingDrain is a server's call that waits until a majority of the core knows it.
type pendingDrain struct {
	from     string // the sidecar that the server called; "" is this one
	asked    uint64 // its request
	instance registry.Instance
	acks     map[string]bool // by the address of a member; nil at a sidecar that asked its home
	done     chan struct{}
}

// heartbeatBody is what a server sends.
type heartbeatBody struct {
	Service         string
	Address         string
	Zone            string
	Generation      string
	Slots           int
	State           string
	ColdRemainingMs float64
	Sequence        int64
}

// serveHeartbeat takes a server's call. One that says it is ready is acknowledged at once; a drain or an end only when a majority
// of the core knows it, since every sidecar will then know it, whoever ends.
func (n *Node) serveHeartbeat(w http.ResponseWriter, r *http.Request, gone bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	var b heartbeatBody
	if err == nil && (len(body) > 0 || !gone) {
		err = json.Unmarshal(body, &b)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i := registry.Instance{ID: r.PathValue("id"), Service: b.Service, Address: b.Address, Zone: b.Zone, Generation: b.Generation,
		Slots: b.Slots, Sequence: b.Sequence, WarmupRemaining: settings.Milliseconds(b.ColdRemainingMs)}
	if b.State == "draining" {
		i.State = registry.Draining
	}
	if gone {
		i.State = registry.Deregistered
	}
	done, ok := n.acceptHeartbeat(i)
	if !ok {
		w.Header().Set("Retry-After", "0.5")
		http.Error(w, "out of touch with the core", http.StatusServiceUnavailable)
		return
	}
	if done != nil {
		timer := time.NewTimer(drainWait)
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
			http.Error(w, "the core did not answer in time", http.StatusServiceUnavailable)
			return
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, "{}")
}

// acceptHeartbeat takes in a call; done is closed once a majority of the core knows it, and nil where nothing has to be waited for.
func (n *Node) acceptHeartbeat(i registry.Instance) (done chan struct{}, ok bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	waits := i.State != registry.Ready
	if n.core() {
		if !n.replica.InTouch() {
			return nil, false
		}
		if !waits {
			n.hear(i, now)
			return nil, true
		}
		return n.spreadDrain("", 0, i, now).done, true
	}
	if n.home.address == "" || now-n.home.heard > homeSilent || !n.home.touch {
		return nil, false
	}
	m := dissemination.ForwardedHeartbeat{Instance: i}
	if waits {
		n.token++
		m.Request = n.token
		done = make(chan struct{})
		n.pendingDrains[m.Request] = &pendingDrain{done: done}
		n.registry.Merge(registry.Update{Instance: i}, now)
		time.AfterFunc(2*drainWait, func() { n.forgetPendingDrain(m.Request) })
	}
	n.transport.Send(n.home.address, m)
	n.apply()
	return done, true
}

// hear takes in a server's call at a control sidecar.
func (n *Node) hear(i registry.Instance, now time.Duration) {
	changed := n.registry.ReceiveHeartbeat(i, now)
	for _, id := range n.registry.TakeReceived() {
		for _, s := range n.subscribers {
			if s.core {
				s.fresh[id] = true
			}
		}
	}
	if changed {
		n.pushAll()
		n.apply()
	}
}

// spreadDrain tells the core of a drain or an end.
func (n *Node) spreadDrain(from string, asked uint64, i registry.Instance, now time.Duration) *pendingDrain {
	n.hear(i, now)
	n.token++
	k := &pendingDrain{from: from, asked: asked, instance: i, acks: map[string]bool{n.self.Address: true}, done: make(chan struct{})}
	request := n.token
	n.pendingDrains[request] = k
	time.AfterFunc(2*drainWait, func() { n.forgetPendingDrain(request) })
	n.sendDrain(request, k)
	n.checkPendingDrain(request)
	return k
}

// sendDrain tells a drain to the members that have not said that they know it.
func (n *Node) sendDrain(request uint64, k *pendingDrain) {
	for _, m := range n.view.Members {
		if !k.acks[m.Address] {
			n.transport.Send(m.Address, dissemination.Drain{Request: request, Instance: k.instance})
		}
	}
}

// respreadDrains tells the drains that wait to the members of a new view: a majority of these has to know them.
func (n *Node) respreadDrains() {
	for request, k := range n.pendingDrains {
		if k.acks != nil {
			n.sendDrain(request, k)
		}
	}
}

func (n *Node) forgetPendingDrain(request uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.pendingDrains, request)
}

func (n *Node) onForwardedHeartbeat(from string, m dissemination.ForwardedHeartbeat, now time.Duration) {
	if !n.core() {
		return
	}
	if m.Request == 0 {
		n.hear(m.Instance, now)
		return
	}
	n.spreadDrain(from, m.Request, m.Instance, now)
}

func (n *Node) onDrain(from string, m dissemination.Drain, now time.Duration) {
	if !n.core() {
		return
	}
	if n.registry.Merge(registry.Update{Instance: m.Instance}, now) {
		n.pushAll()
	}
	n.transport.Send(from, dissemination.DrainAck{Request: m.Request, View: n.view.Epoch})
}

func (n *Node) onDrainAck(from string, m dissemination.DrainAck) {
	if n.view.Epoch.Less(m.View) {
		return // this one's majority may be none any more; it learns the view and asks its members
	}
	if k := n.pendingDrains[m.Request]; k != nil && k.acks != nil {
		k.acks[from] = true
		n.checkPendingDrain(m.Request)
	}
}

func (n *Node) checkPendingDrain(request uint64) {
	k := n.pendingDrains[request]
	count := 0
	for _, m := range n.view.Members {
		if k.acks[m.Address] {
			count++
		}
	}
	if count <= len(n.view.Members)/2 {
		return
	}
	if k.from != "" {
		n.transport.Send(k.from, dissemination.HeartbeatAck{Request: k.asked})
	}
	n.acknowledgeDrain(request)
}

func (n *Node) acknowledgeDrain(request uint64) {
	if k := n.pendingDrains[request]; k != nil {
		close(k.done)
		delete(n.pendingDrains, request)
	}
}
