package node

import (
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/router/operatorapi"
	"petrelhook/internal/router/routetable"
)

const (
	maxHeartbeatBytes = 4 << 10
	maxOrderBytes     = 16 << 20
	// orderTimeout bounds the wait for the core's decision on an order. The clients of operators and the model servers time
	// out after a second.
	orderTimeout = 900 * time.Millisecond
	// readTimeout bounds the wait for a majority's confirmation, before a read, that this router is still the primary.
	readTimeout = 700 * time.Millisecond
)

// controlHandler returns the handler of the control address, which model servers and operators call.
func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/instances/{id}/heartbeat", func(w http.ResponseWriter, r *http.Request) { n.serveHeartbeat(w, r, false) })
	mux.HandleFunc("POST /-/instances/{id}/deregister", func(w http.ResponseWriter, r *http.Request) { n.serveHeartbeat(w, r, true) })
	mux.HandleFunc("POST /-/config/replace", func(w http.ResponseWriter, r *http.Request) { n.serveOrder(w, r, operatorapi.Replace) })
	mux.HandleFunc("POST /-/config/update", func(w http.ResponseWriter, r *http.Request) { n.serveOrder(w, r, operatorapi.Update) })
	mux.HandleFunc("GET /-/config/read", n.serveRead)
	mux.HandleFunc("POST /-/servers/{id}/admit", n.serveReadmit)
	mux.HandleFunc("GET "+StatusPath, n.serveStatus)
	return mux
}

// serveReady answers the platform's readiness probe: 200 while this router accepts clients, otherwise 503.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if n.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serveOrder proposes an operator's order to the core and answers with the decision, or redirects the caller to the
// primary.
func (n *Node) serveOrder(w http.ResponseWriter, r *http.Request, kind operatorapi.OrderKind) {
	if n.redirectToPrimary(w, r) {
		return
	}
	base, err := strconv.ParseInt(r.Header.Get("X-Base-Version"), 10, 64)
	if err != nil {
		http.Error(w, "header X-Base-Version: "+err.Error(), http.StatusBadRequest)
		return
	}
	reserved := n.memory.Reserve(func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
	defer reserved.Release()
	body, err := clientlimit.ReadBody(r.Context(), http.MaxBytesReader(w, r.Body, maxOrderBytes), r.ContentLength, maxOrderBytes, reserved)
	if err != nil {
		http.Error(w, err.Error(), orderErrorStatus(err))
		return
	}
	reserved.Arrived()
	order := operatorapi.Order{Kind: kind, Base: base, Body: body}
	d := n.decide(orderTimeout, func(request uint64) { n.control.replica.Propose(request, order.Encode(), n.now()) })
	n.logger.Info().Int64("base_version", base).Int("size_bytes", len(body)).Int("status", d.Status).
		Str("reason", d.Reason).Msg("order decided")
	if d.Status == http.StatusOK {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, d.Reason, d.Status)
}

// orderErrorStatus returns the status of the response to an order that could not be read.
func orderErrorStatus(err error) int {
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, clientlimit.ErrNoMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// serveRead answers with the newest configuration after a majority has confirmed that this router is still the primary,
// or redirects the caller to the primary.
func (n *Node) serveRead(w http.ResponseWriter, r *http.Request) {
	if n.redirectToPrimary(w, r) {
		return
	}
	d := n.decide(readTimeout, func(request uint64) { n.control.replica.Confirm(request, n.now()) })
	if d.Status != http.StatusOK {
		http.Error(w, d.Reason, d.Status)
		return
	}
	var config *routetable.Config
	n.withLock(func() { config = n.subscription.versions.Config() })
	if config == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(config.Encode())
}

// redirectToPrimary returns false, without an answer, if this router is the primary. Otherwise it redirects the caller to
// the primary, or answers 503 if the primary is not known, and returns true. Without contact with the core the primary
// counts as unknown, because the last known primary may have been replaced. redirectToPrimary is called without the lock,
// and acquires it.
func (n *Node) redirectToPrimary(w http.ResponseWriter, r *http.Request) bool {
	var isPrimary, hasContact bool
	var primary string
	n.withLock(func() {
		isPrimary = n.control.replica.IsPrimary()
		primary = n.control.view.PrimaryAddress()
		hasContact = n.hasCoreContact(n.now())
	})
	switch {
	case isPrimary:
		return false
	case primary == "" || primary == n.self.Address || !hasContact:
		w.Header().Set("Retry-After", "0.3")
		http.Error(w, "the primary is not known", http.StatusServiceUnavailable)
	default:
		w.Header().Set("Location", "http://"+n.settings.ControlAddressOf(primary)+r.URL.Path)
		w.WriteHeader(http.StatusTemporaryRedirect)
	}
	return true
}
