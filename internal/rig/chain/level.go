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

	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/scenario"
	"petrelhook/internal/rig/standin"
)

// idleTimeout is the time after which a server closes an idle connection.
const idleTimeout = 10 * time.Second

// Counts are the results of the calls that the level above sent through the sidecar above this level's servers.
type Counts struct {
	Calls    int `json:"calls"`
	Served   int `json:"served"`
	Refused  int `json:"refused"`  // 429 and 503
	Failed   int `json:"failed"`   // any other status
	Broken   int `json:"broken"`   // without an answer: the connection broke, or the caller gave up
	Resent   int `json:"resent"`   // sent again because the caller's connection had been closed between two requests
	Attempts int `json:"attempts"` // requests that arrived at the level's servers
}

// level is the servers of one depth, and the application that they run.
type level struct {
	cfg       *Config
	depth     int      // from 1, the top
	nextAddrs []string // addresses that it calls; none: it is the leaf
	addrs     []string // of its servers

	servers    []*port
	discovery  *discovery
	transport  *http.Transport
	nextServer atomic.Uint64
	callCount  atomic.Uint64 // numbers the calls

	mu              sync.Mutex
	calls           map[string]*Counts // by class: calls that this level sent, and attempts that arrived at it
	arrivalsByTrace map[string]int     // requests by trace: each trace is one call through the sidecar above
	arrivalsByCall  map[topCall]int    // requests by the client's call
	unsafeRepeats   int                // requests of the unsafe class that arrived again
}

// topCall identifies a call of the client. All requests on its behalf carry it.
type topCall struct{ class, operation string }

// newLevel makes a level whose servers call the next addresses.
func newLevel(cfg *Config, depth int, next []string) *level {
	l := &level{
		cfg: cfg, depth: depth, nextAddrs: next, calls: map[string]*Counts{safeClass: {}, unsafeClass: {}},
		arrivalsByTrace: map[string]int{}, arrivalsByCall: map[topCall]int{},
	}
	if len(next) > 0 {
		l.transport = newTransport()
	}
	return l
}

// listen starts the servers and their discovery.
func (l *level) listen() error {
	var members []standin.Member
	for i := range l.cfg.Servers {
		name := fmt.Sprintf("l%d-s%d", l.depth, i)
		p, err := serveAt(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serve(name, w, r) }))
		if err != nil {
			return err
		}
		l.servers, l.addrs = append(l.servers, p), append(l.addrs, p.addr)
		members = append(members, standin.Member{ID: name, HostPort: p.addr, Zone: "a", Kind: "std", Lifecycle: audit.Up, Weight: 1})
	}
	var err error
	l.discovery, err = startDiscovery(members)
	return err
}

// close ends the servers and waits for them. Their callers have ended, so no request matters any more.
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

// serve handles one request at server name.
func (l *level) serve(name string, w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	class, trace, op := r.Header.Get("X-Qos"), r.Header.Get("X-Trace-Id"), r.URL.Query().Get("op")
	_, _ = io.Copy(io.Discard, r.Body) // a request has arrived with its last byte
	l.mu.Lock()
	counts := l.calls[class]
	if counts == nil || trace == "" {
		l.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	counts.Attempts++
	l.arrivalsByTrace[trace]++
	l.arrivalsByCall[topCall{class, op}]++
	nth := l.arrivalsByCall[topCall{class, op}]
	if class == unsafeClass && l.arrivalsByTrace[trace] > 1 {
		l.unsafeRepeats++
	}
	l.mu.Unlock()
	if l.cfg.onArrival != nil {
		l.cfg.onArrival(l.depth)
	}
	if len(l.nextAddrs) > 0 {
		l.forward(w, r, arrived)
		return
	}
	work := time.NewTimer(l.cfg.Work)
	defer work.Stop()
	select {
	case <-work.C:
	case <-r.Context().Done():
	}
	if scenario.Draw(l.cfg.Seed, "fail", op, strconv.Itoa(nth)) < l.cfg.FailFraction {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "{\"trace\":%q,\"server\":%q}\n", trace, name)
}

// forward sends the application's one call, with the time that is left, and passes on its result.
func (l *level) forward(w http.ResponseWriter, r *http.Request, arrived time.Time) {
	class := r.Header.Get("X-Qos")
	left := l.cfg.Deadline
	if us, err := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Expires-In"), "u"), 10, 64); err == nil {
		left = time.Duration(us) * time.Microsecond
	}
	left -= time.Since(arrived)
	if left <= 0 {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	var sent atomic.Int64
	ctx, cancel := context.WithTimeout(r.Context(), left+answerSlack)
	defer cancel()
	wrote := func(httptrace.WroteRequestInfo) { sent.Add(1) }
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: wrote})
	n := l.callCount.Add(1)
	to := l.nextAddrs[l.nextServer.Add(1)%uint64(len(l.nextAddrs))]
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
	l.count(class, resp, err, int(sent.Load()))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	l.cfg.PassMode.writeAnswer(w, resp, body)
}

// count counts a call of the application, which was written to connections a number of times, by its answer or error.
func (l *level) count(class string, resp *http.Response, err error, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[class]
	c.Calls++
	c.Resent += max(0, sent-1)
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
}

// writeAnswer passes on the answer to the application's own call.
func (p PassMode) writeAnswer(w http.ResponseWriter, resp *http.Response, body []byte) {
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
