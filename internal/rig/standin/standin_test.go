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
	n    int
}

func bubble(t *testing.T, faults string, test func(r *rig)) {
	t.Helper()
	s, err := scenario.Parse("test", strings.NewReader(fleet4+faults))
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
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

// until sleeps until a time of the run.
func (r *rig) until(at time.Duration) { time.Sleep(time.Until(r.zero.Add(at))) }

// answer is what came of one request on a connection of its own.
type answer struct {
	status int
	never  bool
	body   string
	took   time.Duration
	err    error
}

func (r *rig) ask(server int, class, key string) (a answer) {
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
	return exchange1(c, fmt.Sprint("trace-", r.n), class, key)
}

func exchange1(c net.Conn, trace, class, key string) answer {
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

func near(got, want time.Duration) bool { return got >= want && got < want+3*time.Millisecond }

// Each fault of a server, as whoever sends to it sees it.
func TestServerFaults(t *testing.T) {
	const service = 15 * time.Millisecond // work and IO
	for fault, check := range map[string]func(r *rig, a answer){
		"": func(r *rig, a answer) {
			if a.status != 200 || !near(a.took, service) || !strings.Contains(a.body, r.f.s.Servers[0].Name) {
				r.t.Errorf("%+v", a)
			}
		},
		"at 100ms s1 slow x10 for 1s": func(r *rig, a answer) {
			if a.status != 200 || !near(a.took, 105*time.Millisecond) {
				r.t.Errorf("%+v", a)
			}
		},
		"at 205ms s1 stall for 500ms": func(r *rig, a answer) { // it strikes in the midst of the work
			if a.status != 200 || !near(a.took, service+500*time.Millisecond) {
				r.t.Errorf("%+v", a)
			}
		},
		"at 100ms s1 error for 1s": func(r *rig, a answer) {
			if a.status != 500 || a.never {
				r.t.Errorf("%+v", a)
			}
		},
		"at 100ms s1 full for 1s": func(r *rig, a answer) {
			if a.status != 503 || !a.never || a.took > 3*time.Millisecond {
				r.t.Errorf("%+v", a)
			}
		},
		"at 100ms s1 garble for 1s": func(r *rig, a answer) {
			if a.err == nil || !strings.Contains(a.err.Error(), "malformed") {
				r.t.Errorf("%+v", a)
			}
		},
		"at 100ms s1 reset-in for 1s": func(r *rig, a answer) {
			if !errors.Is(a.err, syscall.ECONNRESET) || a.took > 3*time.Millisecond {
				r.t.Errorf("%+v", a)
			}
		},
		"at 100ms s1 reset-out for 1s": func(r *rig, a answer) {
			if !errors.Is(a.err, syscall.ECONNRESET) || !near(a.took, service) {
				r.t.Errorf("%+v", a)
			}
		},
		"at 100ms s1 silent for 1s": func(r *rig, a answer) {
			if !errors.Is(a.err, context.DeadlineExceeded) {
				r.t.Errorf("%+v", a)
			}
		},
		"at 100ms s1 gone": func(r *rig, a answer) {
			if !errors.Is(a.err, syscall.ECONNREFUSED) {
				r.t.Errorf("%+v", a)
			}
		},
		"at 100ms s1 gone drain=5s": func(r *rig, a answer) { // it goes on until it is gone
			if a.status != 200 {
				r.t.Errorf("%+v", a)
			}
		},
		"at 210ms s1 gone": func(r *rig, a answer) { // what it had is lost
			if !errors.Is(a.err, syscall.ECONNRESET) {
				r.t.Errorf("%+v", a)
			}
		},
		"at 50ms s1 replace down=50ms cold=10% warm=10s": func(r *rig, a answer) { // at a tenth of its speed
			if a.status != 200 || a.took < 90*time.Millisecond || a.took > 105*time.Millisecond || !strings.Contains(a.body, `"s1.2"`) {
				r.t.Errorf("%+v", a)
			}
		},
	} {
		t.Run(fault, func(t *testing.T) {
			bubble(t, fault, func(r *rig) {
				r.until(200 * time.Millisecond)
				check(r, r.ask(0, "read", ""))
			})
		})
	}
}

// Two cores and a queue of one: the third request waits, the fourth is turned away; what waits until its time is up is
// answered with the mark that it never ran.
func TestQueue(t *testing.T) {
	bubble(t, "", func(r *rig) {
		answers := make(chan answer, 4)
		for i := range 4 {
			r.n++
			c, err := r.net.Dial(r.t.Context(), "tcp", r.f.Addr(0))
			if err != nil {
				r.t.Fatal(err)
			}
			defer c.Close()
			go func() { answers <- exchange1(c, fmt.Sprint("t", i), "read", "") }()
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

// A key is dropped by its cell, within its window, and what is dropped has no effect.
func TestRepeatsAreDroppedByGroupAndWindow(t *testing.T) {
	bubble(t, "", func(r *rig) {
		for _, server := range []int{0, 2, 1, 0} { // s1 and s3 are one cell, s2 another
			if a := r.ask(server, "book", "k"); a.status != 200 {
				r.t.Errorf("%+v", a)
			}
		}
		time.Sleep(500 * time.Millisecond)
		r.ask(0, "book", "k")
		r.ask(0, "book", "other")
		var got []bool
		for _, a := range r.rec.Records().Attempts {
			got = append(got, a.KeyKnown)
		}
		if text := fmt.Sprint(got); text != "[false true false true false false]" {
			r.t.Errorf("dropped: %s", text)
		}
	})
}

// What a server records: what came, when, whether it ran, and whether it was still wanted.
func TestRecords(t *testing.T) {
	bubble(t, "at 0s s2 full for 1s", func(r *rig) {
		r.until(100 * time.Millisecond)
		r.ask(0, "void", "")
		r.ask(1, "void", "")
		c, _ := r.net.Dial(r.t.Context(), "tcp", r.f.Addr(2))
		io.WriteString(c, "POST /void?op=9 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: late\r\nX-Qos: void\r\nContent-Length: 2\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		io.WriteString(c, "hi")
		time.Sleep(2 * time.Millisecond)
		c.Close() // it is not waited for any more
		time.Sleep(100 * time.Millisecond)
		list := r.rec.Records().Attempts
		if len(list) != 3 {
			r.t.Fatalf("%+v", list)
		}
		ran, turned, late := list[0], list[1], list[2]
		if ran.Server != "s1" || ran.Operation != "trace-1" || ran.WorkStarted != ran.LastByte || !near(ran.End-ran.WorkStarted, 10*time.Millisecond) || !ran.MayHaveRun() {
			r.t.Errorf("ran: %+v", ran)
		}
		if turned.WorkStarted != audit.Never || !turned.NeverRan || turned.MayHaveRun() || turned.Status != 503 {
			r.t.Errorf("turned away: %+v", turned)
		}
		if !near(late.LastByte-late.FirstByte, 50*time.Millisecond) || late.WorkStarted == audit.Never || !late.Unwanted {
			r.t.Errorf("late: %+v", late)
		}
	})
}

// A cold server that is sent more than it bears falls over, stays down, and discovery says that it is gone. With two
// cores and a tenth of its capacity it bears 2 x 0.1 x 2 s of work within a second, and a tenth more for chance: 44
// requests, those that it turns away included.
func TestOverdrivenColdServerFalls(t *testing.T) {
	bubble(t, "at 100ms s1 restart down=100ms cold=10% warm=10s", func(r *rig) {
		r.until(300 * time.Millisecond)
		burst := func(n int) {
			answers := make(chan answer, n)
			for i := range n {
				c, err := r.net.Dial(r.t.Context(), "tcp", r.f.Addr(0))
				if err != nil { // it has fallen
					answers <- answer{err: err}
					continue
				}
				defer c.Close()
				go func() { answers <- exchange1(c, fmt.Sprint("t", n, "-", i), "read", "") }()
			}
			for range n {
				<-answers
			}
		}
		burst(43)
		if c, err := r.net.Dial(r.t.Context(), "tcp", r.f.Addr(0)); err != nil {
			r.t.Errorf("it fell over by what it bears: %v", err)
		} else {
			c.Close()
		}
		time.Sleep(2 * time.Second) // its capacity has grown to 0.28
		burst(140)
		if a := r.ask(0, "read", ""); !errors.Is(a.err, syscall.ECONNREFUSED) {
			r.t.Errorf("it has not fallen over: %+v", a)
		}
		if strings.Contains(string(r.f.Known(0)), `"s1"`) {
			r.t.Error("discovery still lists it")
		}
	})
}

// watcher reads what discovery tells.
type watcher struct {
	lines *bufio.Scanner
	close func() error
}

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

func (w watcher) next(t *testing.T) (m message, ok bool) {
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

func TestDiscovery(t *testing.T) {
	const gone = "at 1s s2 gone drain=1s\n"
	since := func(r *rig) time.Duration { return time.Since(r.zero) }
	for _, c := range []struct {
		name, faults    string
		draining, leave time.Duration // when a watch hears of it
	}{
		{"as it is", gone, time.Second, 2 * time.Second},
		{"late", "discovery late=300ms\n" + gone, 1300 * time.Millisecond, 2300 * time.Millisecond},
		{"later still", "at 500ms discovery late by=700ms for 1s\n" + gone, 1700 * time.Millisecond, 2 * time.Second},
		{"mute", "at 500ms discovery mute for 1s\n" + gone, 1500 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, c.faults, func(r *rig) {
				w := r.watch(1, 1)
				defer w.close()
				first, _ := w.next(r.t)
				if first.Reset || len(first.Instances) != 0 {
					r.t.Errorf("after=1 is up to date: %+v", first)
				}
				for _, want := range []struct {
					state audit.State
					at    time.Duration
				}{{audit.Draining, c.draining}, {audit.Removed, c.leave}} {
					m, ok := w.next(r.t)
					if !ok || m.Reset || len(m.Instances) != 1 || m.Instances[0].ID != "s2" || m.Instances[0].Lifecycle != want.state || !near(since(r), want.at) {
						r.t.Errorf("at %v: %+v, want %s at %v", since(r), m, want.state, want.at)
					}
				}
				synctest.Wait()
				var told []audit.StateUpdate
				for _, n := range r.rec.Records().StateUpdates {
					if n.Server == "s2" {
						told = append(told, n)
					}
				}
				if len(told) != 2 || told[0].State != audit.Draining || told[0].Sidecar != 1 || told[0].ReceivedAt > c.draining+time.Millisecond {
					r.t.Errorf("told: %+v", told)
				}
			})
		})
	}
	t.Run("down", func(t *testing.T) {
		bubble(t, "at 1s discovery down for 1s\nat 1500ms s2 gone", func(r *rig) {
			w := r.watch(0, 0)
			if m, _ := w.next(r.t); !m.Reset || len(m.Instances) != 4 {
				r.t.Errorf("after=0 is the whole list: %+v", m)
			}
			if _, ok := w.next(r.t); ok || !near(since(r), time.Second) {
				r.t.Errorf("the watch went on until %v", since(r))
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
	})
}
