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

// heard is what the calls of a test were answered.
type heard struct {
	w      *Watches
	of     map[string]Version
	all    []string
	called map[string]int
}

func newHeard() *heard {
	h := &heard{of: map[string]Version{}, called: map[string]int{}}
	h.w = NewWatches(func(s string) (Version, bool) { v, ok := h.of[s]; return v, ok }, time.Second)
	return h
}

func (h *heard) ask(now time.Duration, name, service string, holds Revision, hold time.Duration) func() {
	return h.w.Add(now, Watch{Service: service, Known: holds, MaxWait: hold}, func(told WatchResponse, err error) {
		h.called[name]++
		switch {
		case errors.Is(err, ErrStale):
			h.all = append(h.all, name+" stale")
		case told.Newer != nil:
			h.all = append(h.all, fmt.Sprint(name, " ", told.Newer.Service, told.Newer.Revision))
		default:
			h.all = append(h.all, name+" nothing")
		}
	})
}

func (h *heard) want(t *testing.T, want string) {
	t.Helper()
	if got := strings.Join(h.all, ", "); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	h.all = nil
}

func TestWatch(t *testing.T) {
	const ms = time.Millisecond
	h := newHeard()
	if h.w.Fresh(0) {
		t.Error("fresh without a word")
	}
	h.ask(0, "a", "s", 0, time.Second)
	h.want(t, "a stale")
	h.w.Confirmed(0)
	h.ask(0, "b", "s", 0, time.Second) // no version yet
	h.ask(0, "c", "s", 5, time.Second) // ahead
	h.ask(0, "d", "t", 0, 300*ms)
	cancelled := h.ask(0, "e", "s", 0, 200*ms)
	h.ask(0, "f", "s", 0, 0)
	h.want(t, "f nothing")
	cancelled()
	cancelled()
	if at, ok := h.w.NextDeadline(); !ok || at != 300*ms || h.w.Waiting() != 3 {
		t.Errorf("due at %v, %d wait", at, h.w.Waiting())
	}
	h.of["s"] = version("s", 3, `{}`)
	h.w.Changed(100*ms, "s")
	h.want(t, "b s3")
	h.w.Changed(100*ms, "s")
	h.w.ChangedAll(100 * ms)
	h.want(t, "")
	h.ask(100*ms, "g", "s", 2, time.Second)
	h.want(t, "g s3")
	h.w.Tick(299 * ms)
	h.want(t, "")
	h.w.Tick(300 * ms)
	h.want(t, "d nothing")
	if at, ok := h.w.NextDeadline(); !ok || at != time.Second {
		t.Errorf("due at %v", at)
	}
	h.w.Confirmed(500 * ms)
	h.w.Confirmed(400 * ms) // a late word
	h.ask(500*ms, "h", "t", 0, 10*time.Second)
	h.w.Tick(1000 * ms)
	h.want(t, "c nothing")
	h.w.Tick(1499 * ms)
	h.want(t, "")
	if at, _ := h.w.NextDeadline(); at != 1500*ms {
		t.Errorf("due at %v", at)
	}
	h.w.Tick(1500 * ms)
	h.want(t, "h stale")
	h.ask(1500*ms, "i", "s", 0, 10*time.Second)
	h.want(t, "i stale")
	if _, ok := h.w.NextDeadline(); ok || h.w.Waiting() != 0 || h.w.Fresh(1500*ms) {
		t.Errorf("%d wait", h.w.Waiting())
	}
	// A change that comes in before the tick does not go over the end of freshness, nor does a snapshot.
	h.w.Confirmed(1500 * ms)
	h.ask(1500*ms, "j", "s", 3, 10*time.Second)
	h.of["s"] = version("s", 4, `{}`)
	h.w.Changed(2500*ms, "s")
	h.want(t, "j stale")
	h.w.Confirmed(2500 * ms)
	h.ask(2500*ms, "k", "s", 4, 10*time.Second)
	h.of["s"] = version("s", 5, `{}`)
	h.w.ChangedAll(3500 * ms)
	h.want(t, "k stale")
	// Nor does an ask leave others waiting.
	h.w.Confirmed(3500 * ms)
	h.ask(3500*ms, "l", "s", 5, 10*time.Second)
	h.ask(4500*ms, "m", "s", 5, 10*time.Second)
	h.want(t, "l stale, m stale")
	// A snapshot tells all.
	h.w.Confirmed(5000 * ms)
	h.ask(5000*ms, "n", "s", 5, time.Second)
	h.ask(5000*ms, "o", "t", 0, time.Second)
	h.ask(5000*ms, "p", "u", 0, time.Second)
	h.of["s"], h.of["t"] = version("s", 6, `{}`), version("t", 7, `{}`)
	h.w.ChangedAll(5000 * ms)
	h.want(t, "n s6, o t7")
	if h.w.Waiting() != 1 {
		t.Errorf("%d wait", h.w.Waiting())
	}
	// A hold beyond the bound is cut.
	h.ask(5000*ms, "q", "t", 7, time.Hour)
	h.w.Confirmed(5000*ms + MaxWatchWait)
	h.all = nil
	h.w.Tick(5000*ms + MaxWatchWait)
	h.want(t, "p nothing, q nothing")
}

// What is done may ask again, and cancel others that are about to be told.
func TestWatchFromWhatIsDone(t *testing.T) {
	h := newHeard()
	h.w.Confirmed(0)
	var cancel func()
	h.w.Add(0, Watch{Service: "s", MaxWait: time.Second}, func(told WatchResponse, err error) {
		cancel()
		h.ask(0, "again", "s", told.Newer.Revision, time.Second)
		h.of["s"] = version("s", 2, `{}`)
		h.w.Changed(0, "s")
	})
	cancel = h.ask(0, "cancelled", "s", 0, time.Second)
	h.ask(0, "other", "s", 0, time.Second)
	h.of["s"] = version("s", 1, `{}`)
	h.w.Changed(0, "s")
	h.want(t, "again s2, other s1")
	// A change that is told from within a snapshot's telling: each is told once.
	h.w.Add(0, Watch{Service: "s", Known: 2, MaxWait: time.Second}, func(WatchResponse, error) { h.w.Changed(0, "t") })
	h.ask(0, "one", "t", 0, time.Second)
	h.of["s"], h.of["t"] = version("s", 3, `{}`), version("t", 4, `{}`)
	h.w.ChangedAll(0)
	h.want(t, "one t4")
	if h.w.Waiting() != 0 {
		t.Errorf("%d wait", h.w.Waiting())
	}
}

// Each call gets one answer, the newest where something is newer, none after it was cancelled, and none that is not
// fresh.
func TestWatchesProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, last, confirmed := time.Duration(0), Revision(0), time.Duration(-1)
		of := map[string]Version{}
		w := NewWatches(func(s string) (Version, bool) { v, ok := of[s]; return v, ok }, time.Second)
		type call struct {
			watch   Watch
			at      time.Duration
			over    bool
			cancel  func()
			started bool
		}
		var calls []*call
		fresh := func() bool { return confirmed >= 0 && now-confirmed < time.Second }
		// settled judges all that wait still.
		settled := func(all bool) {
			waits := 0
			for _, c := range calls {
				if c.over {
					continue
				}
				waits++
				if !fresh() || c.at <= now && all || of[c.watch.Service].Revision > c.watch.Known {
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
				c.watch.Known = rapid.SampledFrom([]Revision{0, last, last + 2, of[c.watch.Service].Revision}).Draw(t, "holds")
				calls = append(calls, c)
				c.cancel = w.Add(now, c.watch, func(told WatchResponse, err error) {
					if c.over {
						t.Fatalf("%+v: a second answer, or after cancel", c)
					}
					c.over = true
					newest := of[c.watch.Service]
					switch {
					case err != nil:
						if fresh() {
							t.Fatalf("%v: %v", now, err)
						}
					case !fresh():
						t.Fatalf("%v: %+v, and it is not fresh", now, told)
					case told.Newer != nil:
						if told.Newer.Revision != newest.Revision || newest.Revision <= c.watch.Known {
							t.Fatalf("%+v, newest %d: %+v", c, newest.Revision, told.Newer)
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
				asked := now - time.Duration(rapid.IntRange(0, 1500).Draw(t, "ago"))*time.Millisecond
				if asked >= 0 {
					w.Tick(now) // what has ended before is told before
					w.Confirmed(asked)
					confirmed = max(confirmed, asked)
				}
			},
			"change": func(*rapid.T) {
				last++
				name := service()
				of[name] = version(name, last, `{}`)
				w.Changed(now, name)
				settled(false)
			},
			"snapshot": func(*rapid.T) {
				for _, name := range []string{"a", "b", "c"} {
					if rapid.Bool().Draw(t, name) {
						last++
						of[name] = version(name, last, `{}`)
					}
				}
				w.ChangedAll(now)
				settled(false)
			},
			"tick": func(*rapid.T) {
				now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
				w.Tick(now)
				settled(true)
				if at, ok := w.NextDeadline(); ok && at <= now {
					t.Fatalf("%v: due at %v", now, at)
				}
			},
		})
	})
}
