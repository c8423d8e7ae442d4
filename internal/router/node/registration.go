package node

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/settings"
)

// drainTimeout bounds the wait until a majority of the core has a server's drain or deregistration on disk. It is
// less than a second, after which a server calls the next router.
const drainTimeout = 850 * time.Millisecond

// errInvalidID is the error for an instance ID that cannot be stored as text.
var errInvalidID = errors.New("the instance ID in the path is not valid UTF-8")

// heartbeatBody is the JSON body of a server's heartbeat or deregistration.
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

// readInstance reads an instance from a server's heartbeat or deregistration. A deregistration may have no body.
func readInstance(w http.ResponseWriter, r *http.Request, deregister bool) (registry.Instance, error) {
	if !utf8.ValidString(r.PathValue("id")) {
		return registry.Instance{}, errInvalidID
	}
	encoded, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	if err != nil {
		return registry.Instance{}, err
	}
	var body heartbeatBody
	if len(encoded) > 0 || !deregister {
		if err := json.Unmarshal(encoded, &body); err != nil {
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

// serveHeartbeat answers a server's heartbeat or deregistration. A ready server is acknowledged at once. A drain or
// deregistration is acknowledged only when a majority of the core has it on disk, so that all routers learn of it even if
// every process of the core is killed right afterwards.
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

// acceptServerHeartbeat applies a server's call at a core member, or forwards it to the home. Without contact with the
// core it applies nothing and returns false for ok. done is closed once a majority of the core has the call on disk; it
// is nil if the caller need not wait. It acquires the lock.
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

// forwardServerHeartbeat sends a server's call to the home. If the server is draining or deregistered, this router stops
// using it at once, and the returned channel is closed when the home acknowledges the call. For a ready server it is nil.
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

// applyServerHeartbeat applies a server's call at a core member. It queues the received heartbeat for the subscribers that
// can be core members, and pushes a change of the registry to all subscribers.
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

// receiveForwardedHeartbeat applies a server's call forwarded by a subscriber. A request number other than 0 means that
// the subscriber waits for the acknowledgement.
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
