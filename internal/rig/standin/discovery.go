package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/scenario"
)

// Member is one entry of discovery's list, in the platform's form.
type Member struct {
	ID        string      `json:"instanceId"`
	HostPort  string      `json:"hostPort"`
	Zone      string      `json:"zone"`
	Kind      string      `json:"machineType"`
	Cell      int         `json:"cell"`
	Lifecycle audit.State `json:"lifecycle"`
	Weight    float64     `json:"weight"`
	StartedAt int64       `json:"startedAtMs"`
}

// Message is one answer of discovery, or one line of a watch: with Reset the complete list of a generation, else what has changed since
// the one that the caller named.
type Message struct {
	Generation int      `json:"generation"`
	Reset      bool     `json:"reset"`
	Instances  []Member `json:"instances"`
}

// heartbeat is the interval of empty lines on a watch without changes.
const heartbeat = 2 * time.Second

// discovery serves the list, each sidecar at an address of its own, so that what each sidecar was sent can be recorded.
type discovery struct {
	fleet     *Fleet
	addresses []string

	mu            sync.Mutex
	members       []Member // without those that are removed
	history       []Member // every change; generation n is the list after the first n-1 of them
	changed       chan struct{}
	stalls        int
	delay         time.Duration
	lastPublishAt time.Time // when the last change that is delayed will be published
	pending       map[*time.Timer]struct{}
	servers       map[int]*http.Server
	sent          map[sidecarServer]audit.State
	finished      bool
}

// sidecarServer is a server as a sidecar knows it.
type sidecarServer struct {
	sidecar int
	server  string
}

// newDiscovery is a discovery whose list of generation 1 is first.
func newDiscovery(f *Fleet, first []Member) *discovery {
	return &discovery{
		fleet: f, members: first, changed: make(chan struct{}), delay: f.scenario.Discovery.Delay,
		pending: map[*time.Timer]struct{}{}, servers: map[int]*http.Server{}, sent: map[sidecarServer]audit.State{},
	}
}

// listen serves a sidecar; its address stays the same when it listens again.
func (d *discovery) listen(sidecar int) error {
	addr := "127.0.0.1:0"
	if sidecar < len(d.addresses) {
		addr = d.addresses[sidecar]
	}
	ln, err := d.fleet.net.Listen(addr)
	if err != nil {
		return err
	}
	if sidecar == len(d.addresses) {
		d.addresses = append(d.addresses, ln.Addr().String())
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", func(w http.ResponseWriter, r *http.Request) { d.serve(sidecar, w, r) })
	server := &http.Server{Handler: mux}
	d.mu.Lock()
	d.servers[sidecar] = server
	d.mu.Unlock()
	d.fleet.spawn(func() { _ = server.Serve(ln) })
	return nil
}

// serve answers a request for the list, or a subscription, of a sidecar.
func (d *discovery) serve(sidecar int, w http.ResponseWriter, r *http.Request) {
	if !d.waitWhileStalled(r) {
		return
	}
	if r.URL.Query().Get("watch") == "" {
		d.send(sidecar, w, 0)
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for first := true; ; first = false {
		d.mu.Lock()
		changed, generation := d.changed, len(d.history)+1
		d.mu.Unlock()
		if first || generation > after {
			after = d.send(sidecar, w, after)
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-ticker.C:
			w.Write([]byte("\n"))
			_ = http.NewResponseController(w).Flush()
		}
		if !d.waitWhileStalled(r) {
			return
		}
	}
}

// waitWhileStalled waits while a fault stalls discovery; false: the caller has hung up.
func (d *discovery) waitWhileStalled(r *http.Request) bool {
	for {
		d.mu.Lock()
		stalled, changed := d.stalls > 0, d.changed
		d.mu.Unlock()
		if !stalled {
			return r.Context().Err() == nil
		}
		select {
		case <-r.Context().Done():
			return false
		case <-changed:
		}
	}
}

// send writes what changed after a generation, or the complete list, and returns the generation that was sent.
func (d *discovery) send(sidecar int, w http.ResponseWriter, after int) int {
	d.mu.Lock()
	m := Message{Generation: len(d.history) + 1, Reset: after < 1 || after > len(d.history)+1, Instances: []Member{}}
	if m.Reset {
		m.Instances = append(m.Instances, d.members...)
	} else {
		m.Instances = append(m.Instances, d.history[after-1:]...)
	}
	d.mu.Unlock()
	line, err := json.Marshal(m)
	if err == nil {
		_, err = w.Write(append(line, '\n'))
	}
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	if err == nil {
		d.recordSent(sidecar, m)
	}
	return m.Generation
}

// recordSent records what a sidecar was sent. It is called when that was written: what could not be written counts as unknown to the sidecar.
func (d *discovery) recordSent(sidecar int, m Message) {
	now := d.fleet.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	states := map[string]audit.State{}
	if m.Reset {
		for k := range d.sent {
			if k.sidecar == sidecar {
				states[k.server] = audit.Removed // unless the list names it
			}
		}
	}
	order := []string{}
	for _, in := range m.Instances {
		states[in.ID] = in.Lifecycle
		order = append(order, in.ID)
	}
	for name := range states {
		if !containsID(m.Instances, name) {
			order = append(order, name)
		}
	}
	for _, name := range order {
		k := sidecarServer{sidecar, name}
		if d.sent[k] != states[name] {
			d.sent[k] = states[name]
			d.fleet.recorder.StateUpdate(audit.StateUpdate{Sidecar: sidecar, Server: name, State: states[name], ReceivedAt: now})
		}
	}
}

// containsID reports whether a list has the server of an ID.
func containsID(list []Member, id string) bool {
	for _, m := range list {
		if m.ID == id {
			return true
		}
	}
	return false
}

// change accepts a server's new state, which is published after the delay.
func (d *discovery) change(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	publishAt := time.Now().Add(d.delay)
	if publishAt.Before(d.lastPublishAt) {
		publishAt = d.lastPublishAt // changes stay in order
	}
	d.lastPublishAt = publishAt
	if time.Until(publishAt) <= 0 {
		d.publish(m)
		return
	}
	var t *time.Timer
	t = time.AfterFunc(time.Until(publishAt), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if delete(d.pending, t); !d.finished {
			d.publish(m)
		}
	})
	d.pending[t] = struct{}{}
}

// publish puts a change on the list. The caller holds mu.
func (d *discovery) publish(m Member) {
	members := d.members[:0:0]
	for _, old := range d.members {
		if old.ID != m.ID {
			members = append(members, old)
		}
	}
	if m.Lifecycle != audit.Removed {
		members = append(members, m)
	}
	d.members, d.history = members, append(d.history, m)
	d.notifyWatchers()
}

// notifyWatchers wakes the goroutines that wait for a change. The caller holds mu.
func (d *discovery) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// knownList is the list as a sidecar may know it from an earlier process.
func (d *discovery) knownList(sidecar int) []byte {
	d.mu.Lock()
	m := Message{Generation: len(d.history) + 1, Reset: true, Instances: append([]Member{}, d.members...)}
	d.mu.Unlock()
	d.recordSent(sidecar, m)
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings and finite numbers only
	}
	return text
}

// events are what a fault does to discovery, and when.
func (d *discovery) events(fault scenario.Fault) []event {
	begin, end := func() error { return nil }, func() error { return nil }
	switch fault.Kind {
	case scenario.DiscoveryDown:
		begin = func() error { d.stop(); return nil }
		end = func() error {
			for i := range d.addresses {
				if err := d.listen(i); err != nil {
					return err
				}
			}
			return nil
		}
	case scenario.DiscoveryStall:
		begin = func() error { d.addStall(1); return nil }
		end = func() error { d.addStall(-1); return nil }
	case scenario.DiscoveryDelay:
		begin = func() error { d.addDelay(fault.Delay); return nil }
		end = func() error { d.addDelay(-fault.Delay); return nil }
	}
	return []event{{fault.At, begin}, {fault.At + fault.Duration, end}}
}

// addStall changes the number of active faults that stall discovery.
func (d *discovery) addStall(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalls += n
	d.notifyWatchers()
}

// addDelay changes the delay of announcements.
func (d *discovery) addDelay(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay += by
}

// stop ends all calls and watches, and closes the listeners.
func (d *discovery) stop() {
	d.mu.Lock()
	servers := d.servers
	d.servers = map[int]*http.Server{}
	d.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
}

// close ends discovery for good: changes that are delayed are not published any more.
func (d *discovery) close() {
	d.stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finished = true
	for t := range d.pending {
		t.Stop()
	}
}
