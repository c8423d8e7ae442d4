package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/rig/scenario"
)

const (
	latency = 200 * time.Microsecond
	fleet4  = `
sidecars 2
fleet 4 cells=2 cores=2 queue=1
class read effect=safe work=10ms io=5ms deadline=1s
class book effect=keyed group=cell window=500ms work=10ms deadline=1s
class void effect=unsafe work=10ms deadline=1s
rules cold-from=10% cold-time=10s fall-multiple=2 fall-time=1s
limits idle=2s
arrive constant 1/s
`
)

// rig is a fleet on a network in memory, in virtual time that began at zero.
type rig struct {
	t    *testing.T
	net  *memnet.Network
	f    *Fleet
	rec  *audit.Recorder
	zero time.Time
	n    int // of requests
}

// runInBubble runs a test with a fleet that has the faults, in virtual time.
func runInBubble(t *testing.T, faults string, test func(r *rig)) {
	t.Helper()
	s, err := scenario.Parse("test", strings.NewReader(fleet4+faults))
	if err != nil {
		t.Fatal(err)
	}
	bubble.Test(t, func(t *testing.T) {
		r := &rig{t: t, net: memnet.New(latency), rec: &audit.Recorder{}, zero: time.Now()}
		if r.f, err = Start(s, r.net, r.rec, r.zero); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); r.f.Run(ctx) }()
		defer func() {
			cancel()
			<-ended
			r.f.Close()
		}()
		test(r)
	})
}

// elapsed is the present time of the run.
func (r *rig) elapsed() time.Duration { return time.Since(r.zero) }

// until sleeps until a time of the run.
func (r *rig) until(at time.Duration) { time.Sleep(time.Until(r.zero.Add(at))) }

// answer is the result of one request.
type answer struct {
	status int
	never  bool
	body   string
	took   time.Duration
	err    error
}

// request sends a request to a server on a connection of its own.
func (r *rig) request(server int, class, key string) (a answer) {
	r.n++
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	ctx, cancel := context.WithTimeout(r.t.Context(), 100*time.Millisecond)
	defer cancel()
	c, err := r.net.Dial(ctx, "tcp", r.f.Addr(server))
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	return sendOn(c, fmt.Sprint("trace-", r.n), class, key)
}

// sendOn sends a request on a connection, and reads its answer.
func sendOn(c net.Conn, trace, class, key string) answer {
	method, header := "GET", ""
	if class != "read" {
		method, header = "POST", "Content-Length: 2\r\n"
	}
	if key != "" {
		header += "Idempotency-Key: " + key + "\r\n"
	}
	body := ""
	if method == "POST" {
		body = "hi"
	}
	fmt.Fprintf(c, "%s /%s?op=%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: 900m\r\n%s\r\n%s", method, class, trace, trace, class, header, body)
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, never: resp.Header.Get("X-Never-Ran") == "1", body: string(text), err: err}
}

// near reports whether a time is the wanted one, or up to 3 ms later.
func near(got, want time.Duration) bool { return got >= want && got < want+3*time.Millisecond }

// Each fault of a server, as its client observes it in a request at 200 ms.
func TestServerFaults(t *testing.T) {
	const service = 15 * time.Millisecond // work and IO
	for fault, expected := range map[string]func(r *rig, a answer) bool{
		"": func(r *rig, a answer) bool {
			return a.status == 200 && near(a.took, service) && strings.Contains(a.body, r.f.scenario.Servers[0].Name)
		},
		"at 100ms s1 slow x10 for 1s": func(_ *rig, a answer) bool { return a.status == 200 && near(a.took, 105*time.Millisecond) },
		"at 205ms s1 stall for 500ms": func(_ *rig, a answer) bool { // during the work
			return a.status == 200 && near(a.took, service+500*time.Millisecond)
		},
		"at 100ms s1 error for 1s": func(_ *rig, a answer) bool { return a.status == 500 && !a.never },
		"at 100ms s1 full for 1s":  func(_ *rig, a answer) bool { return a.status == 503 && a.never && a.took <= 3*time.Millisecond },
		"at 100ms s1 garble for 1s": func(_ *rig, a answer) bool {
			return a.err != nil && strings.Contains(a.err.Error(), "malformed")
		},
		"at 100ms s1 reset-in for 1s": func(_ *rig, a answer) bool {
			return errors.Is(a.err, syscall.ECONNRESET) && a.took <= 3*time.Millisecond
		},
		"at 100ms s1 reset-out for 1s": func(_ *rig, a answer) bool { return errors.Is(a.err, syscall.ECONNRESET) && near(a.took, service) },
		"at 100ms s1 silent for 1s":    func(_ *rig, a answer) bool { return errors.Is(a.err, context.DeadlineExceeded) },
		"at 100ms s1 gone":             func(_ *rig, a answer) bool { return errors.Is(a.err, syscall.ECONNREFUSED) },
		"at 100ms s1 gone drain=5s":    func(_ *rig, a answer) bool { return a.status == 200 },                      // it serves until it is gone
		"at 210ms s1 gone":             func(_ *rig, a answer) bool { return errors.Is(a.err, syscall.ECONNRESET) }, // requests in flight are lost
		"at 50ms s1 replace down=50ms cold=10% warm=10s": func(_ *rig, a answer) bool { // at a tenth of its speed
			return a.status == 200 && a.took >= 90*time.Millisecond && a.took <= 105*time.Millisecond && strings.Contains(a.body, `"s1.2"`)
		},
	} {
		t.Run(fault, func(t *testing.T) {
			runInBubble(t, fault, func(r *rig) {
				r.until(200 * time.Millisecond)
				if a := r.request(0, "read", ""); !expected(r, a) {
					r.t.Errorf("%+v", a)
				}
			})
		})
	}
}

// Two cores and a queue of one: the third request waits, the fourth is rejected with the header that says that it never ran.
func TestQueue(t *testing.T) {
	runInBubble(t, "", func(r *rig) {
		answers := make(chan answer, 4)
		for i := range 4 {
			r.n++
			c, err := r.net.Dial(r.t.Context(), "tcp", r.f.Addr(0))
			if err != nil {
				r.t.Fatal(err)
			}
			defer c.Close()
			go func() { answers <- sendOn(c, fmt.Sprint("t", i), "read", "") }()
			time.Sleep(time.Millisecond)
		}
		got := map[string]int{}
		for range 4 {
			a := <-answers
			got[fmt.Sprint(a.status, a.never)]++
		}
		if got["200 false"] != 3 || got["503 true"] != 1 {
			r.t.Errorf("%v", got)
		}
	})
}

// A cell drops a request whose key it has received within the window.
func TestRepeatsAreDroppedByGroupAndWindow(t *testing.T) {
	runInBubble(t, "", func(r *rig) {
		for _, server := range []int{0, 2, 1, 0} { // s1 and s3 are one cell, s2 another
			if a := r.request(server, "book", "k"); a.status != 200 {
				r.t.Errorf("%+v", a)
			}
		}
		time.Sleep(500 * time.Millisecond)
		r.request(0, "book", "k")
		r.request(0, "book", "other")
		var got []bool
		for _, a := range r.rec.Records().Attempts {
			got = append(got, a.KeyKnown)
		}
		if text := fmt.Sprint(got); text != "[false true false true false false]" {
			r.t.Errorf("dropped: %s", text)
		}
	})
}

// A server records what it received, when, whether it ran, and whether its client still waited.
func TestRecords(t *testing.T) {
	runInBubble(t, "at 0s s2 full for 1s", func(r *rig) {
		r.until(100 * time.Millisecond)
		r.request(0, "void", "")
		r.request(1, "void", "")
		c, _ := r.net.Dial(r.t.Context(), "tcp", r.f.Addr(2))
		io.WriteString(c, "POST /void?op=9 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: late\r\nX-Qos: void\r\nContent-Length: 2\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		io.WriteString(c, "hi")
		time.Sleep(2 * time.Millisecond)
		c.Close() // its client does not wait any more
		time.Sleep(100 * time.Millisecond)
		list := r.rec.Records().Attempts
		if len(list) != 3 {
			r.t.Fatalf("%+v", list)
		}
		ran, rejected, abandoned := list[0], list[1], list[2]
		if ran.Server != "s1" || ran.Operation != "trace-1" || ran.WorkStarted != ran.LastByte || !near(ran.End-ran.WorkStarted, 10*time.Millisecond) || !ran.MayHaveRun() {
			r.t.Errorf("ran: %+v", ran)
		}
		if rejected.WorkStarted != audit.Never || !rejected.NeverRan || rejected.MayHaveRun() || rejected.Status != 503 {
			r.t.Errorf("rejected: %+v", rejected)
		}
		if !near(abandoned.LastByte-abandoned.FirstByte, 50*time.Millisecond) || abandoned.WorkStarted == audit.Never || !abandoned.Unwanted {
			r.t.Errorf("abandoned: %+v", abandoned)
		}
	})
}

// A server that is sent more in its slow start than it can do collapses, stays down, and discovery says that it is gone. With two
// cores and a tenth of its capacity it can do 2 x 0.1 x 2 s of work within a second, and a tenth more for chance: 44
// requests, those that it rejects included.
func TestOverloadInSlowStartCollapses(t *testing.T) {
	runInBubble(t, "at 100ms s1 restart down=100ms cold=10% warm=10s", func(r *rig) {
		r.until(300 * time.Millisecond)
		burst := func(n int) {
			answers := make(chan answer, n)
			for i := range n {
				c, err := r.net.Dial(r.t.Context(), "tcp", r.f.Addr(0))
				if err != nil { // it has collapsed
					answers <- answer{err: err}
					continue
				}
				defer c.Close()
				go func() { answers <- sendOn(c, fmt.Sprint("t", n, "-", i), "read", "") }()
			}
			for range n {
				<-answers
			}
		}
		burst(43)
		if c, err := r.net.Dial(r.t.Context(), "tcp", r.f.Addr(0)); err != nil {
			r.t.Errorf("it collapsed within its capacity: %v", err)
		} else {
			c.Close()
		}
		time.Sleep(2 * time.Second) // its capacity has grown to 0.28
		burst(140)
		if a := r.request(0, "read", ""); !errors.Is(a.err, syscall.ECONNREFUSED) {
			r.t.Errorf("it has not collapsed: %+v", a)
		}
		if strings.Contains(string(r.f.Known(0)), `"s1"`) {
			r.t.Error("discovery still lists it")
		}
	})
}

// watcher is a subscriber of discovery.
type watcher struct {
	lines *bufio.Scanner
	close func() error
}

// watch subscribes to the discovery of a sidecar, from a generation on.
func (r *rig) watch(sidecar, after int) watcher {
	c, err := r.net.Dial(r.t.Context(), "tcp", r.f.Discovery(sidecar))
	if err != nil {
		r.t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /catalog/members?watch=1&after=%d HTTP/1.1\r\nHost: x\r\n\r\n", after)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.t.Fatal(err)
	}
	return watcher{bufio.NewScanner(resp.Body), c.Close}
}

// next returns the next message; ok is false if the subscription has ended.
func (w watcher) next(t *testing.T) (m Message, ok bool) {
	for w.lines.Scan() {
		if len(w.lines.Bytes()) == 0 {
			continue
		}
		if err := json.Unmarshal(w.lines.Bytes(), &m); err != nil {
			t.Fatal(err)
		}
		return m, true
	}
	return m, false
}

// Subscribers and sidecars get a server's states when the scenario says.
func TestDiscovery(t *testing.T) {
	const gone = "at 1s s2 gone drain=1s\n"
	for _, c := range []struct {
		name, faults      string
		draining, removed time.Duration // when a subscriber gets these states
	}{
		{"as it is", gone, time.Second, 2 * time.Second},
		{"late", "discovery late=300ms\n" + gone, 1300 * time.Millisecond, 2300 * time.Millisecond},
		{"later still", "at 500ms discovery late by=700ms for 1s\n" + gone, 1700 * time.Millisecond, 2 * time.Second},
		{"mute", "at 500ms discovery mute for 1s\n" + gone, 1500 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, c.faults, func(r *rig) {
				w := r.watch(1, 1)
				defer w.close()
				first, _ := w.next(r.t)
				if first.Reset || len(first.Instances) != 0 {
					r.t.Errorf("after=1 is up to date: %+v", first)
				}
				w.checkNext(r, audit.Draining, c.draining)
				w.checkNext(r, audit.Removed, c.removed)
				synctest.Wait()
				r.checkDrainingRecorded(c.draining)
			})
		})
	}
}

// checkNext checks that the next message is that server s2 has a state, and comes at a time of the run.
func (w watcher) checkNext(r *rig, state audit.State, at time.Duration) {
	r.t.Helper()
	m, ok := w.next(r.t)
	if !ok || m.Reset || len(m.Instances) != 1 || m.Instances[0].ID != "s2" || m.Instances[0].Lifecycle != state || !near(r.elapsed(), at) {
		r.t.Errorf("at %v: %+v, want %s at %v", r.elapsed(), m, state, at)
	}
}

// checkDrainingRecorded checks the records of what sidecars received of server s2: two states, of which sidecar 1 got the first when it
// was sent.
func (r *rig) checkDrainingRecorded(sent time.Duration) {
	r.t.Helper()
	var updates []audit.StateUpdate
	for _, u := range r.rec.Records().StateUpdates {
		if u.Server == "s2" {
			updates = append(updates, u)
		}
	}
	if len(updates) != 2 || updates[0].State != audit.Draining || updates[0].Sidecar != 1 || updates[0].ReceivedAt > sent+time.Millisecond {
		r.t.Errorf("updates: %+v", updates)
	}
}

// A discovery that is down ends its subscriptions and refuses connections; after that it sends what has changed.
func TestDiscoveryDown(t *testing.T) {
	runInBubble(t, "at 1s discovery down for 1s\nat 1500ms s2 gone", func(r *rig) {
		w := r.watch(0, 0)
		if m, _ := w.next(r.t); !m.Reset || len(m.Instances) != 4 {
			r.t.Errorf("after=0 is the complete list: %+v", m)
		}
		if _, ok := w.next(r.t); ok || !near(r.elapsed(), time.Second) {
			r.t.Errorf("the watch went on until %v", r.elapsed())
		}
		w.close()
		if _, err := r.net.Dial(r.t.Context(), "tcp", r.f.Discovery(0)); !errors.Is(err, syscall.ECONNREFUSED) {
			r.t.Error(err)
		}
		r.until(2100 * time.Millisecond)
		w = r.watch(0, 1)
		defer w.close()
		if m, _ := w.next(r.t); m.Reset || len(m.Instances) != 2 || m.Generation != 3 {
			r.t.Errorf("what changed meanwhile: %+v", m)
		}
	})
}
