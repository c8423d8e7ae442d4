package node

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"petrelhook/internal/router/operatorapi"
	"petrelhook/internal/router/replication"
)

const (
	maxHeartbeatBytes = 4 << 10
	maxOrderBytes     = 16 << 20
	drainWait         = 850 * time.Millisecond // a server calls the next sidecar after a second
	orderWait         = 900 * time.Millisecond // the operator too
	readWait          = 700 * time.Millisecond
	statusRedirect    = http.StatusTemporaryRedirect
)

func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/instances/{id}/heartbeat", func(w http.ResponseWriter, r *http.Request) { n.serveHeartbeat(w, r, false) })
	mux.HandleFunc("POST /-/instances/{id}/deregister", func(w http.ResponseWriter, r *http.Request) { n.serveHeartbeat(w, r, true) })
	mux.HandleFunc("POST /-/config/replace", func(w http.ResponseWriter, r *http.Request) { n.serveOrder(w, r, operatorapi.Replace) })
	mux.HandleFunc("POST /-/config/update", func(w http.ResponseWriter, r *http.Request) { n.serveOrder(w, r, operatorapi.Update) })
	mux.HandleFunc("GET /-/config/read", n.serveRead)
	mux.HandleFunc("POST /-/servers/{id}/admit", n.serveAdmit)
	mux.HandleFunc("GET "+StatusPath, n.serveStatus)
	return mux
}

func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if n.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serveOrder takes an order of the operator, or says where the primary is.
func (n *Node) serveOrder(w http.ResponseWriter, r *http.Request, kind operatorapi.OrderKind) {
	if n.redirect(w, r) {
		return
	}
	base, err := strconv.ParseInt(r.Header.Get("X-Base-Version"), 10, 64)
	if err != nil {
		http.Error(w, "header X-Base-Version: "+err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	order := operatorapi.Order{Kind: kind, Base: base, Body: body}
	d := n.ask(orderWait, func(token uint64) { n.replica.Propose(token, order.Encode(), n.now()) })
	n.logger.Info().Int64("base", base).Int("bytes", len(body)).Int("status", d.Status).Str("reason", d.Reason).Msg("order")
	if d.Status == http.StatusOK {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, d.Reason, d.Status)
}

// serveRead answers with the newest configuration, once it is sure that this is the primary still.
func (n *Node) serveRead(w http.ResponseWriter, r *http.Request) {
	if n.redirect(w, r) {
		return
	}
	d := n.ask(readWait, func(token uint64) { n.replica.Confirm(token, n.now()) })
	if d.Status != http.StatusOK {
		http.Error(w, d.Reason, d.Status)
		return
	}
	n.mutex.Lock()
	config := n.versions.Config()
	n.mutex.Unlock()
	if config == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(config.Encode())
}

// ask hands something to the replica and waits for its answer.
func (n *Node) ask(wait time.Duration, propose func(token uint64)) replication.Decision {
	answer := make(chan replication.Decision, 1)
	n.mutex.Lock()
	n.token++
	token := n.token
	n.answers[token] = answer
	propose(token)
	n.carryOut()
	n.apply()
	n.mutex.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case d := <-answer:
		return d
	case <-timer.C:
	}
	n.mutex.Lock()
	delete(n.answers, token)
	n.mutex.Unlock()
	return replication.Decision{Status: http.StatusServiceUnavailable, Reason: "no answer of the core in time"}
}

// redirect sends a caller to the primary, where this is not it.
func (n *Node) redirect(w http.ResponseWriter, r *http.Request) bool {
	n.mutex.Lock()
	primary := n.replica.IsPrimary()
	address := n.view.PrimaryAddress()
	touch := n.core() && n.replica.InTouch() || !n.core() && n.home.touch && n.now()-n.home.heard < homeSilent
	n.mutex.Unlock()
	switch {
	case primary:
		return false
	case address == "" || address == n.self.Address || !touch:
		w.Header().Set("Retry-After", "0.3")
		http.Error(w, "the primary is not known", http.StatusServiceUnavailable)
	default:
		w.Header().Set("Location", "http://"+n.settings.ControlOf(address)+r.URL.Path)
		w.WriteHeader(statusRedirect)
	}
	return true
}
