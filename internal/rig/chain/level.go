package chain

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"petrelhook/internal/rig/scenario"
)

// idle is for how long a connection to a server may carry nothing.
const idle = 10 * time.Second

// Counts are what came of the calls that one level's callers made of the sidecar above its servers.
type Counts struct {
	Calls    int `json:"calls"`
	Served   int `json:"served"`
	Refused  int `json:"refused"`  // 429 and 503
	Failed   int `json:"failed"`   // any other status
	Broken   int `json:"broken"`   // no answer: the connection broke, or the caller gave up
	Resent   int `json:"resent"`   // the caller's connection had been closed between two requests: sent once more
	Attempts int `json:"attempts"` // requests that reached the level's servers
}

// level is the servers of one depth.
type level struct {
	cfg   *Config
	depth int      // from 1, the top
	next  []string // where it calls; none: it is the leaf
	addrs []string // its servers

	servers   []*port
	discovery *discovery
	transport *http.Transport
	turn      atomic.Uint64
	made      atomic.Uint64 // calls

	mu     sync.Mutex
	calls  map[string]*Counts // by class: calls that this level made, and attempts that came to it
	tries  map[string]int     // by trace, how often a request came: each trace is one call through the sidecar above
	tried  map[wish]int       // how often it came to this level
	repeat int                // requests of the unsafe class that came again
}

// wish is one call at the top, which all that is done for it carries along.
type wish struct{ class, op string }

func newLevel(cfg *Config, depth int, next []string) *level {
	l := &level{
		cfg: cfg, depth: depth, next: next, calls: map[string]*Counts{safeClass: {}, unsafeClass: {}},
		tries: map[string]int{}, tried: map[wish]int{},
	}
	if len(next) > 0 {
		l.transport = transport()
	}
	return l
}

// listen starts the servers and their discovery.
func (l *level) listen() error {
	var members []member
	for i := range l.cfg.Servers {
		name := fmt.Sprintf("l%d-s%d", l.depth, i)
		p, err := serveAt(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serve(name, w, r) }))
		if err != nil {
			return err
		}
		l.servers, l.addrs = append(l.servers, p), append(l.addrs, p.addr)
		members = append(members, member{ID: name, HostPort: p.addr, Zone: "a", Kind: "std", Lifecycle: "up", Weight: 1})
	}
	var err error
	l.discovery, err = tell(members)
	return err
}

// close ends the servers and waits for them. Whoever called them has ended: nothing of worth is out any more.
func (l *level) close() {
	if l.discovery != nil {
		l.discovery.close()
	}
	for _, p := range l.servers {
		p.close()
	}
	if l.transport != nil {
		l.transport.CloseIdleConnections()
	}
}

// serve takes one request.
func (l *level) serve(name string, w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	class, trace, op := r.Header.Get("X-Qos"), r.Header.Get("X-Trace-Id"), r.URL.Query().Get("op")
	_, _ = io.Copy(io.Discard, r.Body) // a request is there with its last byte
	l.mu.Lock()
	counts := l.calls[class]
	if counts == nil || trace == "" {
		l.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	counts.Attempts++
	l.tries[trace]++
	l.tried[wish{class, op}]++
	nth := l.tried[wish{class, op}]
	if class == unsafeClass && l.tries[trace] > 1 {
		l.repeat++
	}
	l.mu.Unlock()
	if l.cfg.arrived != nil {
		l.cfg.arrived(l.depth)
	}
	if len(l.next) > 0 {
		l.pass(w, r, came)
		return
	}
	work := time.NewTimer(l.cfg.Work)
	defer work.Stop()
	select {
	case <-work.C:
	case <-r.Context().Done():
	}
	if scenario.Draw(l.cfg.Seed, "fail", op, strconv.Itoa(nth)) < l.cfg.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "{\"trace\":%q,\"server\":%q}\n", trace, name)
}

// pass makes the application's one call, with the time that is left, and passes on what comes of it.
func (l *level) pass(w http.ResponseWriter, r *http.Request, came time.Time) {
	class := r.Header.Get("X-Qos")
	left := l.cfg.Deadline
	if us, err := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Expires-In"), "u"), 10, 64); err == nil {
		left = time.Duration(us) * time.Microsecond
	}
	left -= time.Since(came)
	if left <= 0 {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	var sent atomic.Int64
	ctx, cancel := context.WithTimeout(r.Context(), left+slack)
	defer cancel()
	wrote := func(httptrace.WroteRequestInfo) { sent.Add(1) }
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: wrote})
	n := l.made.Add(1)
	to := l.next[l.turn.Add(1)%uint64(len(l.next))]
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+to+r.RequestURI, nil)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	out.Header = http.Header{
		"X-Trace-Id": {fmt.Sprintf("%x-%x-%x", l.cfg.Seed, l.depth, n)}, "X-Qos": {class},
		"X-Expires-In": {fmt.Sprintf("%du", left.Microseconds())},
	}
	resp, err := l.transport.RoundTrip(out)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	l.mu.Lock()
	c := l.calls[class]
	c.Calls++
	c.Resent += int(max(0, sent.Load()-1))
	switch {
	case err != nil:
		c.Broken++
	case resp.StatusCode == http.StatusOK:
		c.Served++
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		c.Refused++
	default:
		c.Failed++
	}
	l.mu.Unlock()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	l.cfg.Pass.answer(w, resp, body)
}

// answer passes on an answer.
func (p Pass) answer(w http.ResponseWriter, resp *http.Response, body []byte) {
	refused := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	wait := resp.Header.Get("Retry-After")
	switch {
	case resp.StatusCode == http.StatusOK:
		w.Write(body)
		return
	case p == PassError || p == PassMarked && !refused:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case p == PassMarked:
		w.Header().Set("X-Never-Ran", "1")
		resp.StatusCode = http.StatusServiceUnavailable
	}
	if wait != "" {
		w.Header().Set("Retry-After", wait)
	}
	w.WriteHeader(resp.StatusCode)
}
