package node

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"petrelhook/internal/dissemination"
	"petrelhook/internal/operatorapi"
	"petrelhook/internal/registry"
	"petrelhook/internal/replication"
	"petrelhook/internal/settings"
)

const (
	beatMost    = 4 << 10
	orderMost   = 16 << 20
	keepWait    = 850 * time.Millisecond // a server calls the next sidecar after a second
	orderWait   = 900 * time.Millisecond // the operator too
	readWait    = 700 * time.Millisecond
	statusTaken = http.StatusTemporaryRedirect
)

// keeping is a server's call that waits until a majority of the core knows it.
type keeping struct {
	from  string // the sidecar that the server called; "" is this one
	asked uint64 // its request
	acks  map[string]bool
	done  chan struct{}
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

func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/instances/{id}/heartbeat", func(w http.ResponseWriter, r *http.Request) { n.serveBeat(w, r, false) })
	mux.HandleFunc("POST /-/instances/{id}/deregister", func(w http.ResponseWriter, r *http.Request) { n.serveBeat(w, r, true) })
	mux.HandleFunc("POST /-/config/replace", func(w http.ResponseWriter, r *http.Request) { n.serveOrder(w, r, operatorapi.Replace) })
	mux.HandleFunc("POST /-/config/update", func(w http.ResponseWriter, r *http.Request) { n.serveOrder(w, r, operatorapi.Update) })
	mux.HandleFunc("GET /-/config/read", n.serveRead)
	mux.HandleFunc("GET "+StatusPath, n.serveStatus)
	return mux
}

func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if n.ready.Load() && !n.ending.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serveBeat takes a server's call. One that says it is ready is acknowledged at once; a drain or an end only when a majority
// of the core knows it, since every sidecar will then know it, whoever ends.
func (n *Node) serveBeat(w http.ResponseWriter, r *http.Request, gone bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, beatMost))
	var b heartbeatBody
	if err == nil && (len(body) > 0 || !gone) {
		err = json.Unmarshal(body, &b)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i := registry.Instance{ID: r.PathValue("id"), Service: b.Service, Address: b.Address, Zone: b.Zone, Generation: b.Generation,
		Slots: b.Slots, Sequence: b.Sequence, ColdUntil: settings.Milliseconds(b.ColdRemainingMs)}
	if b.State == "draining" {
		i.State = registry.Draining
	}
	if gone {
		i.State = registry.Gone
	}
	done, ok := n.takeBeat(i)
	if !ok {
		w.Header().Set("Retry-After", "0.5")
		http.Error(w, "out of touch with the core", http.StatusServiceUnavailable)
		return
	}
	if done != nil {
		timer := time.NewTimer(keepWait)
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

// takeBeat takes in a call; done is closed once it is kept, and nil where nothing has to be waited for.
func (n *Node) takeBeat(i registry.Instance) (done chan struct{}, ok bool) {
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
		return n.keep("", 0, i, now).done, true
	}
	if n.home.address == "" || now-n.home.heard > homeSilent || !n.home.touch {
		return nil, false
	}
	m := dissemination.Beat{Instance: i}
	if waits {
		n.token++
		m.Request = n.token
		done = make(chan struct{})
		n.keeps[m.Request] = &keeping{done: done}
		n.registry.Merge(registry.Update{Instance: i}, now)
		time.AfterFunc(2*keepWait, func() { n.forgetKeeping(m.Request) })
	}
	n.transport.Send(n.home.address, m)
	n.apply()
	return done, true
}

// hear takes in a server's call at a control sidecar.
func (n *Node) hear(i registry.Instance, now time.Duration) {
	changed := n.registry.Beat(i, now)
	for _, id := range n.registry.Fresh() {
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

// keep spreads a drain or an end over the core.
func (n *Node) keep(from string, asked uint64, i registry.Instance, now time.Duration) *keeping {
	n.hear(i, now)
	n.token++
	k := &keeping{from: from, asked: asked, acks: map[string]bool{n.self.Address: true}, done: make(chan struct{})}
	request := n.token
	n.keeps[request] = k
	time.AfterFunc(2*keepWait, func() { n.forgetKeeping(request) })
	for _, m := range n.view.Members {
		if m.Address != n.self.Address {
			n.transport.Send(m.Address, dissemination.Spread{Request: request, Instance: i})
		}
	}
	n.checkKeeping(request)
	return k
}

func (n *Node) forgetKeeping(request uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.keeps, request)
}

func (n *Node) onBeat(from string, m dissemination.Beat, now time.Duration) {
	if !n.core() {
		return
	}
	if m.Request == 0 {
		n.hear(m.Instance, now)
		return
	}
	n.keep(from, m.Request, m.Instance, now)
}

func (n *Node) onSpread(from string, m dissemination.Spread, now time.Duration) {
	if !n.core() {
		return
	}
	if n.registry.Merge(registry.Update{Instance: m.Instance}, now) {
		n.pushAll()
	}
	n.transport.Send(from, dissemination.SpreadKept{Request: m.Request})
}

func (n *Node) onSpreadKept(from string, m dissemination.SpreadKept) {
	if k := n.keeps[m.Request]; k != nil && k.acks != nil {
		k.acks[from] = true
		n.checkKeeping(m.Request)
	}
}

func (n *Node) checkKeeping(request uint64) {
	k := n.keeps[request]
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
		n.transport.Send(k.from, dissemination.BeatKept{Request: k.asked})
	}
	n.kept(request)
}

func (n *Node) kept(request uint64) {
	if k := n.keeps[request]; k != nil {
		close(k.done)
		delete(n.keeps, request)
	}
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, orderMost))
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
	primary := n.replica.Primary()
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
		w.WriteHeader(statusTaken)
	}
	return true
}
