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

// member is one entry of discovery's list.
type member struct {
	ID        string      `json:"instanceId"`
	HostPort  string      `json:"hostPort"`
	Zone      string      `json:"zone"`
	Kind      string      `json:"machineType"`
	Cell      int         `json:"cell"`
	Lifecycle audit.State `json:"lifecycle"`
	Weight    float64     `json:"weight"`
	StartedAt int64       `json:"startedAtMs"`
}

// message is one answer of discovery, or one line of a watch.
type message struct {
	Generation int      `json:"generation"`
	Reset      bool     `json:"reset"`
	Instances  []member `json:"instances"`
}

// heartbeat is how often a watch on which nothing happens gets an empty line.
const heartbeat = 2 * time.Second

// discovery serves the list, each sidecar at an address of its own, so that it is known who was told what.
type discovery struct {
	f     *Fleet
	addrs []string

	mu       sync.Mutex
	members  []member // removed ones are not among them
	history  []member // every change; generation n is the list after the first n-1 of them
	changed  chan struct{}
	mute     int
	late     time.Duration
	due      time.Time // of the last change that is on its way
	pending  map[*time.Timer]struct{}
	servers  map[int]*http.Server
	told     map[toldKey]audit.State
	finished bool
}

type toldKey struct {
	sidecar int
	server  string
}

func newDiscovery(f *Fleet, first []member) *discovery {
	return &discovery{
		f: f, members: first, changed: make(chan struct{}), late: f.s.Discovery.Delay,
		pending: map[*time.Timer]struct{}{}, servers: map[int]*http.Server{}, told: map[toldKey]audit.State{},
	}
}

// listen serves a sidecar; its address stays the same when it listens again.
func (d *discovery) listen(sidecar int) error {
	addr := "127.0.0.1:0"
	if sidecar < len(d.addrs) {
		addr = d.addrs[sidecar]
	}
	ln, err := d.f.net.Listen(addr)
	if err != nil {
		return err
	}
	if sidecar == len(d.addrs) {
		d.addrs = append(d.addrs, ln.Addr().String())
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", func(w http.ResponseWriter, r *http.Request) { d.serve(sidecar, w, r) })
	server := &http.Server{Handler: mux}
	d.mu.Lock()
	d.servers[sidecar] = server
	d.mu.Unlock()
	d.f.spawn(func() { _ = server.Serve(ln) })
	return nil
}

func (d *discovery) serve(sidecar int, w http.ResponseWriter, r *http.Request) {
	if !d.speak(r) {
		return
	}
	if r.URL.Query().Get("watch") == "" {
		d.tell(sidecar, w, 0)
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
			after = d.tell(sidecar, w, after)
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-ticker.C:
			w.Write([]byte("\n"))
			_ = http.NewResponseController(w).Flush()
		}
		if !d.speak(r) {
			return
		}
	}
}

// speak waits while discovery is mute; false: the caller has gone.
func (d *discovery) speak(r *http.Request) bool {
	for {
		d.mu.Lock()
		mute, changed := d.mute > 0, d.changed
		d.mu.Unlock()
		if !mute {
			return r.Context().Err() == nil
		}
		select {
		case <-r.Context().Done():
			return false
		case <-changed:
		}
	}
}

// tell writes what changed after a generation, or the whole list, and returns the generation that was told.
func (d *discovery) tell(sidecar int, w http.ResponseWriter, after int) int {
	d.mu.Lock()
	m := message{Generation: len(d.history) + 1, Reset: after < 1 || after > len(d.history)+1, Instances: []member{}}
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
		d.book(sidecar, m)
	}
	return m.Generation
}

// book records what a sidecar was told: only now, since it may not have heard what could not be written.
func (d *discovery) book(sidecar int, m message) {
	now := d.f.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	news := map[string]audit.State{}
	if m.Reset {
		for k := range d.told {
			if k.sidecar == sidecar {
				news[k.server] = audit.Removed // unless the list names it
			}
		}
	}
	order := []string{}
	for _, in := range m.Instances {
		news[in.ID] = in.Lifecycle
		order = append(order, in.ID)
	}
	for name := range news {
		if !named(m.Instances, name) {
			order = append(order, name)
		}
	}
	for _, name := range order {
		k := toldKey{sidecar, name}
		if d.told[k] != news[name] {
			d.told[k] = news[name]
			d.f.rec.StateUpdate(audit.StateUpdate{Sidecar: sidecar, Server: name, State: news[name], ReceivedAt: now})
		}
	}
}

func named(list []member, id string) bool {
	for _, m := range list {
		if m.ID == id {
			return true
		}
	}
	return false
}

// change takes in a server's new state, which is told once it is due.
func (d *discovery) change(m member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	due := time.Now().Add(d.late)
	if due.Before(d.due) {
		due = d.due // changes stay in order
	}
	d.due = due
	if time.Until(due) <= 0 {
		d.publish(m)
		return
	}
	var t *time.Timer
	t = time.AfterFunc(time.Until(due), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if delete(d.pending, t); !d.finished {
			d.publish(m)
		}
	})
	d.pending[t] = struct{}{}
}

// publish puts a change on the list. The caller holds mu.
func (d *discovery) publish(m member) {
	kept := d.members[:0:0]
	for _, old := range d.members {
		if old.ID != m.ID {
			kept = append(kept, old)
		}
	}
	if m.Lifecycle != audit.Removed {
		kept = append(kept, m)
	}
	d.members, d.history = kept, append(d.history, m)
	d.stir()
}

// stir wakes whoever waits for a change. The caller holds mu.
func (d *discovery) stir() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// known is the list as a sidecar may know it from before.
func (d *discovery) known(sidecar int) []byte {
	d.mu.Lock()
	m := message{Generation: len(d.history) + 1, Reset: true, Instances: append([]member{}, d.members...)}
	d.mu.Unlock()
	d.book(sidecar, m)
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
			for i := range d.addrs {
				if err := d.listen(i); err != nil {
					return err
				}
			}
			return nil
		}
	case scenario.DiscoveryStall:
		begin = func() error { d.muted(1); return nil }
		end = func() error { d.muted(-1); return nil }
	case scenario.DiscoveryDelay:
		begin = func() error { d.lateBy(fault.Delay); return nil }
		end = func() error { d.lateBy(-fault.Delay); return nil }
	}
	return []event{{fault.At, begin}, {fault.At + fault.Duration, end}}
}

func (d *discovery) muted(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mute += n
	d.stir()
}

func (d *discovery) lateBy(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.late += by
}

// stop ends all calls and watches, and listens no more.
func (d *discovery) stop() {
	d.mu.Lock()
	servers := d.servers
	d.servers = map[int]*http.Server{}
	d.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
}

func (d *discovery) close() {
	d.stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finished = true
	for t := range d.pending {
		t.Stop()
	}
}
