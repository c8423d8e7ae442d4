package distribute

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestWatchesAreChecked(t *testing.T) {
	good := Watch{Version: WireVersion, Service: "s", Member: "m", MaxWait: MaxWatchWait,
		Reports: []Report{{Sidecar: "a"}, {Sidecar: "b"}}}
	for want, change := range map[string]func(*Watch){
		"":                                   func(*Watch) {},
		"version: 2; write 1":                func(w *Watch) { w.Version = 2 },
		"service: 0 bytes; write 1 to 128":   func(w *Watch) { w.Service = "" },
		"member: \"a b\"; write printable":   func(w *Watch) { w.Member = "a b" },
		"hold_ns: -1; write 0 to":            func(w *Watch) { w.MaxWait = -1 },
		"hold_ns: 30000000001; write 0 to":   func(w *Watch) { w.MaxWait = MaxWatchWait + 1 },
		"reports: 257; write at most 256":    func(w *Watch) { w.Reports = make([]Report, MaxReports+1) },
		"reports[1].sidecar: 0 bytes":        func(w *Watch) { w.Reports[1].Sidecar = "" },
		"reports[1].sidecar: \"a\" is there": func(w *Watch) { w.Reports[1].Sidecar = "a" },
		"reports[1].why: 513 bytes":          func(w *Watch) { w.Reports[1].Reason = strings.Repeat("x", MaxReasonBytes+1) },
	} {
		w := good
		w.Reports = append([]Report(nil), good.Reports...)
		change(&w)
		err := w.Check()
		if want == "" && err != nil || want != "" && (err == nil || !strings.HasPrefix(err.Error(), want)) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// recorder records the responses to the calls of a test.
type recorder struct {
	watches   *Watches
	newest    map[string]Version
	responses []string
	called    map[string]int
}

func newRecorder() *recorder {
	h := &recorder{newest: map[string]Version{}, called: map[string]int{}}
	h.watches = NewWatches(func(s string) (Version, bool) { v, ok := h.newest[s]; return v, ok }, time.Second)
	return h
}

func (h *recorder) add(now time.Duration, name, service string, known Revision, maxWait time.Duration) func() {
	return h.watches.Add(now, Watch{Service: service, Known: known, MaxWait: maxWait}, func(response WatchResponse, err error) {
		h.called[name]++
		switch {
		case errors.Is(err, ErrStale):
			h.responses = append(h.responses, name+" stale")
		case response.Newer != nil:
			h.responses = append(h.responses, fmt.Sprint(name, " ", response.Newer.Service, response.Newer.Revision))
		default:
			h.responses = append(h.responses, name+" nothing")
		}
	})
}

func (h *recorder) want(t *testing.T, want string) {
	t.Helper()
	if got := strings.Join(h.responses, ", "); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	h.responses = nil
}

func TestWatch(t *testing.T) {
	const ms = time.Millisecond
	h := newRecorder()
	if h.watches.Fresh(0) {
		t.Error("fresh without a confirmation")
	}
	h.add(0, "a", "s", 0, time.Second)
	h.want(t, "a stale")
	h.watches.Confirmed(0)
	h.add(0, "b", "s", 0, time.Second) // no version yet
	h.add(0, "c", "s", 5, time.Second) // ahead
	h.add(0, "d", "t", 0, 300*ms)
	cancelled := h.add(0, "e", "s", 0, 200*ms)
	h.add(0, "f", "s", 0, 0)
	h.want(t, "f nothing")
	cancelled()
	cancelled()
	if at, ok := h.watches.NextDeadline(); !ok || at != 300*ms || h.watches.Waiting() != 3 {
		t.Errorf("due at %v, %d wait", at, h.watches.Waiting())
	}
	h.newest["s"] = version("s", 3, `{}`)
	h.watches.Changed(100*ms, "s")
	h.want(t, "b s3")
	h.watches.Changed(100*ms, "s")
	h.watches.ChangedAll(100 * ms)
	h.want(t, "")
	h.add(100*ms, "g", "s", 2, time.Second)
	h.want(t, "g s3")
	h.watches.Tick(299 * ms)
	h.want(t, "")
	h.watches.Tick(300 * ms)
	h.want(t, "d nothing")
	if at, ok := h.watches.NextDeadline(); !ok || at != time.Second {
		t.Errorf("due at %v", at)
	}
	h.watches.Confirmed(500 * ms)
	h.watches.Confirmed(400 * ms) // a confirmation that comes late
	h.add(500*ms, "h", "t", 0, 10*time.Second)
	h.watches.Tick(1000 * ms)
	h.want(t, "c nothing")
	h.watches.Tick(1499 * ms)
	h.want(t, "")
	if at, _ := h.watches.NextDeadline(); at != 1500*ms {
		t.Errorf("due at %v", at)
	}
	h.watches.Tick(1500 * ms)
	h.want(t, "h stale")
	h.add(1500*ms, "i", "s", 0, 10*time.Second)
	h.want(t, "i stale")
	if _, ok := h.watches.NextDeadline(); ok || h.watches.Waiting() != 0 || h.watches.Fresh(1500*ms) {
		t.Errorf("%d wait", h.watches.Waiting())
	}
	// A change that comes before the tick is not sent after the end of freshness, nor is a snapshot.
	h.watches.Confirmed(1500 * ms)
	h.add(1500*ms, "j", "s", 3, 10*time.Second)
	h.newest["s"] = version("s", 4, `{}`)
	h.watches.Changed(2500*ms, "s")
	h.want(t, "j stale")
	h.watches.Confirmed(2500 * ms)
	h.add(2500*ms, "k", "s", 4, 10*time.Second)
	h.newest["s"] = version("s", 5, `{}`)
	h.watches.ChangedAll(3500 * ms)
	h.want(t, "k stale")
	// Nor does a new call leave others waiting.
	h.watches.Confirmed(3500 * ms)
	h.add(3500*ms, "l", "s", 5, 10*time.Second)
	h.add(4500*ms, "m", "s", 5, 10*time.Second)
	h.want(t, "l stale, m stale")
	// A snapshot answers all calls.
	h.watches.Confirmed(5000 * ms)
	h.add(5000*ms, "n", "s", 5, time.Second)
	h.add(5000*ms, "o", "t", 0, time.Second)
	h.add(5000*ms, "p", "u", 0, time.Second)
	h.newest["s"], h.newest["t"] = version("s", 6, `{}`), version("t", 7, `{}`)
	h.watches.ChangedAll(5000 * ms)
	h.want(t, "n s6, o t7")
	if h.watches.Waiting() != 1 {
		t.Errorf("%d wait", h.watches.Waiting())
	}
	// A wait beyond the bound is shortened.
	h.add(5000*ms, "q", "t", 7, time.Hour)
	h.watches.Confirmed(5000*ms + MaxWatchWait)
	h.responses = nil
	h.watches.Tick(5000*ms + MaxWatchWait)
	h.want(t, "p nothing, q nothing")
}

// A done function may add calls, and cancel others that are about to be answered.
func TestWatchFromADoneFunction(t *testing.T) {
	h := newRecorder()
	h.watches.Confirmed(0)
	var cancel func()
	h.watches.Add(0, Watch{Service: "s", MaxWait: time.Second}, func(response WatchResponse, err error) {
		cancel()
		h.add(0, "again", "s", response.Newer.Revision, time.Second)
		h.newest["s"] = version("s", 2, `{}`)
		h.watches.Changed(0, "s")
	})
	cancel = h.add(0, "cancelled", "s", 0, time.Second)
	h.add(0, "other", "s", 0, time.Second)
	h.newest["s"] = version("s", 1, `{}`)
	h.watches.Changed(0, "s")
	h.want(t, "again s2, other s1")
	// A change is applied while a snapshot is answered: each call is answered once.
	h.watches.Add(0, Watch{Service: "s", Known: 2, MaxWait: time.Second}, func(WatchResponse, error) { h.watches.Changed(0, "t") })
	h.add(0, "one", "t", 0, time.Second)
	h.newest["s"], h.newest["t"] = version("s", 3, `{}`), version("t", 4, `{}`)
	h.watches.ChangedAll(0)
	h.want(t, "one t4")
	if h.watches.Waiting() != 0 {
		t.Errorf("%d wait", h.watches.Waiting())
	}
}

// Each call gets one response, with the newest version where that is newer, none after it was cancelled, and none that is not fresh.
func TestWatchesProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, last, confirmed := time.Duration(0), Revision(0), time.Duration(-1)
		newestOf := map[string]Version{}
		w := NewWatches(func(s string) (Version, bool) { v, ok := newestOf[s]; return v, ok }, time.Second)
		type call struct {
			watch  Watch
			at     time.Duration
			over   bool
			cancel func()
		}
		var calls []*call
		fresh := func() bool { return confirmed >= 0 && now-confirmed < time.Second }
		// checkWaiting checks the calls that still wait.
		checkWaiting := func(all bool) {
			waits := 0
			for _, c := range calls {
				if c.over {
					continue
				}
				waits++
				if !fresh() || c.at <= now && all || newestOf[c.watch.Service].Revision > c.watch.Known {
					t.Fatalf("%v: %+v waits", now, c)
				}
			}
			if waits != w.Waiting() {
				t.Fatalf("%d wait, not %d", waits, w.Waiting())
			}
		}
		service := func() string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service") }
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(*rapid.T) {
				c := &call{at: now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "hold"))*time.Millisecond}
				c.watch = Watch{Service: service(), MaxWait: c.at - now}
				c.watch.Known = rapid.SampledFrom([]Revision{0, last, last + 2, newestOf[c.watch.Service].Revision}).Draw(t, "holds")
				calls = append(calls, c)
				c.cancel = w.Add(now, c.watch, func(response WatchResponse, err error) {
					if c.over {
						t.Fatalf("%+v: a second response, or one after cancel", c)
					}
					c.over = true
					newest := newestOf[c.watch.Service]
					switch {
					case err != nil:
						if fresh() {
							t.Fatalf("%v: %v", now, err)
						}
					case !fresh():
						t.Fatalf("%v: %+v, and it is not fresh", now, response)
					case response.Newer != nil:
						if response.Newer.Revision != newest.Revision || newest.Revision <= c.watch.Known {
							t.Fatalf("%+v, newest %d: %+v", c, newest.Revision, response.Newer)
						}
					case newest.Revision > c.watch.Known || c.at > now:
						t.Fatalf("%+v: nothing newer at %v, newest %d", c, now, newest.Revision)
					}
				})
			},
			"cancel": func(*rapid.T) {
				if len(calls) > 0 {
					c := rapid.SampledFrom(calls).Draw(t, "call")
					c.cancel()
					c.over = true
				}
			},
			"confirm": func(*rapid.T) {
				requestedAt := now - time.Duration(rapid.IntRange(0, 1500).Draw(t, "ago"))*time.Millisecond
				if requestedAt >= 0 {
					w.Tick(now) // what has ended before is answered before
					w.Confirmed(requestedAt)
					confirmed = max(confirmed, requestedAt)
				}
			},
			"change": func(*rapid.T) {
				last++
				name := service()
				newestOf[name] = version(name, last, `{}`)
				w.Changed(now, name)
				checkWaiting(false)
			},
			"snapshot": func(*rapid.T) {
				for _, name := range []string{"a", "b", "c"} {
					if rapid.Bool().Draw(t, name) {
						last++
						newestOf[name] = version(name, last, `{}`)
					}
				}
				w.ChangedAll(now)
				checkWaiting(false)
			},
			"tick": func(*rapid.T) {
				now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
				w.Tick(now)
				checkWaiting(true)
				if at, ok := w.NextDeadline(); ok && at <= now {
					t.Fatalf("%v: due at %v", now, at)
				}
			},
		})
	})
}
