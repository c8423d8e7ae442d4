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

// recorder records the responses to the calls of a test, in order.
type recorder struct {
	watches   *Watches
	newest    map[string]Version
	responses []string
	called    map[string]int
}

func newRecorder() *recorder {
	rec := &recorder{newest: map[string]Version{}, called: map[string]int{}}
	rec.watches = NewWatches(func(s string) (Version, bool) { v, ok := rec.newest[s]; return v, ok }, time.Second)
	return rec
}

// add adds a watch whose response is recorded under a name.
func (rec *recorder) add(now time.Duration, name, service string, known Revision, maxWait time.Duration) func() {
	return rec.watches.Add(now, Watch{Service: service, Known: known, MaxWait: maxWait}, func(response WatchResponse, err error) {
		rec.called[name]++
		switch {
		case errors.Is(err, ErrStale):
			rec.responses = append(rec.responses, name+" stale")
		case response.Newer != nil:
			rec.responses = append(rec.responses, fmt.Sprint(name, " ", response.Newer.Service, response.Newer.Revision))
		default:
			rec.responses = append(rec.responses, name+" nothing")
		}
	})
}

// requireResponses checks the responses since the last call, and forgets them.
func (rec *recorder) requireResponses(t *testing.T, want string) {
	t.Helper()
	if got := strings.Join(rec.responses, ", "); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	rec.responses = nil
}

func TestWatch(t *testing.T) {
	const ms = time.Millisecond
	rec := newRecorder()
	if rec.watches.Fresh(0) {
		t.Error("fresh without a confirmation")
	}
	rec.add(0, "a", "s", 0, time.Second)
	rec.requireResponses(t, "a stale")
	rec.watches.Confirmed(0)
	rec.add(0, "b", "s", 0, time.Second) // no version yet
	rec.add(0, "c", "s", 5, time.Second) // holds a revision above the newest
	rec.add(0, "d", "t", 0, 300*ms)
	cancelled := rec.add(0, "e", "s", 0, 200*ms)
	rec.add(0, "f", "s", 0, 0)
	rec.requireResponses(t, "f nothing")
	cancelled()
	cancelled()
	if at, ok := rec.watches.NextDeadline(); !ok || at != 300*ms || rec.watches.Waiting() != 3 {
		t.Errorf("due at %v, %d calls wait", at, rec.watches.Waiting())
	}
	rec.newest["s"] = version("s", 3, `{}`)
	rec.watches.Changed(100*ms, "s")
	rec.requireResponses(t, "b s3")
	rec.watches.Changed(100*ms, "s")
	rec.watches.ChangedAll(100 * ms)
	rec.requireResponses(t, "")
	rec.add(100*ms, "g", "s", 2, time.Second)
	rec.requireResponses(t, "g s3")
	rec.watches.Tick(299 * ms)
	rec.requireResponses(t, "")
	rec.watches.Tick(300 * ms)
	rec.requireResponses(t, "d nothing")
	if at, ok := rec.watches.NextDeadline(); !ok || at != time.Second {
		t.Errorf("due at %v", at)
	}
	rec.watches.Confirmed(500 * ms)
	rec.watches.Confirmed(400 * ms) // an older confirmation that arrives late
	rec.add(500*ms, "h", "t", 0, 10*time.Second)
	rec.watches.Tick(1000 * ms)
	rec.requireResponses(t, "c nothing")
	rec.watches.Tick(1499 * ms)
	rec.requireResponses(t, "")
	if at, _ := rec.watches.NextDeadline(); at != 1500*ms {
		t.Errorf("due at %v", at)
	}
	rec.watches.Tick(1500 * ms)
	rec.requireResponses(t, "h stale")
	rec.add(1500*ms, "i", "s", 0, 10*time.Second)
	rec.requireResponses(t, "i stale")
	if _, ok := rec.watches.NextDeadline(); ok || rec.watches.Waiting() != 0 || rec.watches.Fresh(1500*ms) {
		t.Errorf("%d calls wait", rec.watches.Waiting())
	}
	// Neither a change nor a snapshot is sent once the coordinator is not fresh any more, even before the next tick.
	rec.watches.Confirmed(1500 * ms)
	rec.add(1500*ms, "j", "s", 3, 10*time.Second)
	rec.newest["s"] = version("s", 4, `{}`)
	rec.watches.Changed(2500*ms, "s")
	rec.requireResponses(t, "j stale")
	rec.watches.Confirmed(2500 * ms)
	rec.add(2500*ms, "k", "s", 4, 10*time.Second)
	rec.newest["s"] = version("s", 5, `{}`)
	rec.watches.ChangedAll(3500 * ms)
	rec.requireResponses(t, "k stale")
	// A new call that finds the coordinator no longer fresh ends the wait of the others too.
	rec.watches.Confirmed(3500 * ms)
	rec.add(3500*ms, "l", "s", 5, 10*time.Second)
	rec.add(4500*ms, "m", "s", 5, 10*time.Second)
	rec.requireResponses(t, "l stale, m stale")
	// A restored snapshot answers all calls for which it has a newer version.
	rec.watches.Confirmed(5000 * ms)
	rec.add(5000*ms, "n", "s", 5, time.Second)
	rec.add(5000*ms, "o", "t", 0, time.Second)
	rec.add(5000*ms, "p", "u", 0, time.Second)
	rec.newest["s"], rec.newest["t"] = version("s", 6, `{}`), version("t", 7, `{}`)
	rec.watches.ChangedAll(5000 * ms)
	rec.requireResponses(t, "n s6, o t7")
	if rec.watches.Waiting() != 1 {
		t.Errorf("%d calls wait", rec.watches.Waiting())
	}
	// A wait above MaxWatchWait is shortened to it.
	rec.add(5000*ms, "q", "t", 7, time.Hour)
	rec.watches.Confirmed(5000*ms + MaxWatchWait)
	rec.responses = nil
	rec.watches.Tick(5000*ms + MaxWatchWait)
	rec.requireResponses(t, "p nothing, q nothing")
}

// A done callback may add calls, and cancel others that are about to be answered.
func TestWatchInDoneCallback(t *testing.T) {
	rec := newRecorder()
	rec.watches.Confirmed(0)
	var cancel func()
	rec.watches.Add(0, Watch{Service: "s", MaxWait: time.Second}, func(response WatchResponse, err error) {
		cancel()
		rec.add(0, "again", "s", response.Newer.Revision, time.Second)
		rec.newest["s"] = version("s", 2, `{}`)
		rec.watches.Changed(0, "s")
	})
	cancel = rec.add(0, "cancelled", "s", 0, time.Second)
	rec.add(0, "other", "s", 0, time.Second)
	rec.newest["s"] = version("s", 1, `{}`)
	rec.watches.Changed(0, "s")
	rec.requireResponses(t, "again s2, other s1")
	// If a callback applies a change while a snapshot answers calls, each call is still answered once.
	rec.watches.Add(0, Watch{Service: "s", Known: 2, MaxWait: time.Second}, func(WatchResponse, error) { rec.watches.Changed(0, "t") })
	rec.add(0, "one", "t", 0, time.Second)
	rec.newest["s"], rec.newest["t"] = version("s", 3, `{}`), version("t", 4, `{}`)
	rec.watches.ChangedAll(0)
	rec.requireResponses(t, "one t4")
	if rec.watches.Waiting() != 0 {
		t.Errorf("%d calls wait", rec.watches.Waiting())
	}
}

// Each call gets one response, with the newest version if that is newer than the known one. A cancelled call gets none, and no
// version is sent while the coordinator is not fresh.
func TestWatchesProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, last, confirmed := time.Duration(0), Revision(0), time.Duration(-1)
		newestOf := map[string]Version{}
		w := NewWatches(func(s string) (Version, bool) { v, ok := newestOf[s]; return v, ok }, time.Second)
		type call struct {
			watch  Watch
			at     time.Duration // the deadline
			ended  bool          // answered or cancelled
			cancel func()
		}
		var calls []*call
		fresh := func() bool { return confirmed >= 0 && now-confirmed < time.Second }
		// checkWaiting checks that the calls that still wait have to. noneDue says that none of them may be past its deadline.
		checkWaiting := func(noneDue bool) {
			waiting := 0
			for _, c := range calls {
				if c.ended {
					continue
				}
				waiting++
				if !fresh() || c.at <= now && noneDue || newestOf[c.watch.Service].Revision > c.watch.Known {
					t.Fatalf("%v: %+v still waits", now, c)
				}
			}
			if waiting != w.Waiting() {
				t.Fatalf("%d calls should wait, and %d do", waiting, w.Waiting())
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
					if c.ended {
						t.Fatalf("%+v: a second response, or one after cancel", c)
					}
					c.ended = true
					newest := newestOf[c.watch.Service]
					switch {
					case err != nil:
						if fresh() {
							t.Fatalf("%v: %v", now, err)
						}
					case !fresh():
						t.Fatalf("%v: %+v, although the coordinator is not fresh", now, response)
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
					c.ended = true
				}
			},
			"confirm": func(*rapid.T) {
				requestedAt := now - time.Duration(rapid.IntRange(0, 1500).Draw(t, "ago"))*time.Millisecond
				if requestedAt >= 0 {
					w.Tick(now) // calls that ended before the confirmation are answered before it
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
