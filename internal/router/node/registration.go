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

// drainTimeout bounds the wait for a majority of the core to have a server's drain or end. A server calls the next
// router after a second.
const drainTimeout = 850 * time.Millisecond

// heartbeatBody is the JSON that a server sends.
type heartbeatBody struct {
	Service           string
	Address           string
	Zone              string
	Generation        string
	Slots             int
	State             string
	WarmupRemainingMs float64 `json:"ColdRemainingMs"`
	Sequence          int64
}

// readInstance reads a server's call. A deregistration may have no body.
func readInstance(w http.ResponseWriter, r *http.Request, deregister bool) (registry.Instance, error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	if err != nil {
		return registry.Instance{}, err
	}
	var body heartbeatBody
	if len(text) > 0 || !deregister {
		if err := json.Unmarshal(text, &body); err != nil {
			return registry.Instance{}, err
		}
	}
	instance := registry.Instance{
		ID:              r.PathValue("id"),
		Service:         body.Service,
		Address:         body.Address,
		Zone:            body.Zone,
		Generation:      body.Generation,
		Slots:           body.Slots,
		Sequence:        body.Sequence,
		WarmupRemaining: settings.Milliseconds(body.WarmupRemainingMs),
	}
	switch {
	case deregister:
		instance.State = registry.Deregistered
	case body.State == "draining":
		instance.State = registry.Draining
	}
	return instance, nil
}

// serveHeartbeat answers a server's call. That it is ready is acknowledged at once; that it is draining or ends, only
// when a majority of the core has it: whichever routers end then, every other will learn it.
func (n *Node) serveHeartbeat(w http.ResponseWriter, r *http.Request, deregister bool) {
	instance, err := readInstance(w, r, deregister)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	done, ok := n.acceptServerHeartbeat(instance)
	if !ok {
		w.Header().Set("Retry-After", "0.5")
		http.Error(w, "out of touch with the core", http.StatusServiceUnavailable)
		return
	}
	if done != nil {
		timer := time.NewTimer(drainTimeout)
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

// acceptServerHeartbeat applies a server's call, or forwards it to the home; ok is false without contact with the core,
// and the call is not applied then. done is closed once a majority of the core has it, and nil where nothing is to be
// waited for. It acquires the lock.
func (n *Node) acceptServerHeartbeat(instance registry.Instance) (done <-chan struct{}, ok bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	if !n.hasCoreContact(now) {
		return nil, false
	}
	isReady := instance.State == registry.Ready
	switch {
	case !n.isCoreMember():
		return n.forwardServerHeartbeat(instance, now), true
	case isReady:
		n.applyServerHeartbeat(instance, now)
		return nil, true
	default:
		return n.startDrain("", 0, instance, now).done, true
	}
}

// forwardServerHeartbeat sends a server's call to the home. Where the server is draining or has ended, the channel
// returned is closed when the home acknowledges it; this router stops using the server at once.
func (n *Node) forwardServerHeartbeat(instance registry.Instance, now time.Duration) (done <-chan struct{}) {
	m := dissemination.ForwardedHeartbeat{Instance: instance}
	if instance.State != registry.Ready {
		m.Request = n.nextRequest()
		done = n.addPendingDrain(m.Request, &pendingDrain{}).done
		n.registry.Merge(registry.Update{Instance: instance}, now)
	}
	n.transport.Send(n.subscription.home.Current(), m)
	n.apply()
	return done
}

// applyServerHeartbeat applies a server's call at a core member.
func (n *Node) applyServerHeartbeat(instance registry.Instance, now time.Duration) {
	changed := n.registry.ReceiveHeartbeat(instance, now)
	for _, id := range n.registry.TakeReceived() {
		for _, s := range n.distributor.subscribers {
			if s.coreMember {
				s.unsentHeartbeats[id] = true
			}
		}
	}
	if changed {
		n.pushAll()
		n.apply()
	}
}

// receiveForwardedHeartbeat applies a server's call that a subscriber received.
func (n *Node) receiveForwardedHeartbeat(from string, m dissemination.ForwardedHeartbeat, now time.Duration) {
	if !n.isCoreMember() {
		return
	}
	if m.Request == 0 {
		n.applyServerHeartbeat(m.Instance, now)
		return
	}
	n.startDrain(from, m.Request, m.Instance, now)
}
