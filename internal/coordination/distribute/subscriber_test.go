package distribute

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// version returns a valid version.
func version(service string, r Revision, content string) Version {
	return Version{service, r, Digest([]byte(content)), json.RawMessage(content), false}
}

func TestAcceptedVersions(t *testing.T) {
	truncated := version("a", 8, `{"n":8}`)
	truncated.Content = truncated.Content[:4]
	empty := version("a", 8, "")
	for name, c := range map[string]struct {
		sent Version
		want error
	}{
		"newer":           {version("a", 8, `{"n":8}`), nil},
		"the same":        {version("a", 7, `{"n":8}`), ErrNotNewer},
		"older":           {version("a", 6, `{"n":8}`), ErrNotNewer},
		"another service": {version("b", 8, `{"n":8}`), ErrWrongService},
		"incomplete":      {truncated, ErrDigestMismatch},
		"without content": {empty, ErrDigestMismatch},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSubscriber(DefaultSubscriberOptions("a", "m", 3, rand.New(rand.NewPCG(1, 1)).Int64N), 7, 0)
			call := s.Begin(time.Second)
			v, err := s.Answered(2*time.Second, WatchResponse{Newer: &c.sent})
			if !errors.Is(err, c.want) || (v == nil) != (err != nil) {
				t.Fatalf("%v %v", v, err)
			}
			at, ok := s.NextCallAt()
			if !ok {
				t.Fatal("a call is in flight")
			}
			next := s.Begin(at)
			if err == nil && (s.Revision() != 8 || at != 2*time.Second || next.Server != call.Server || next.Watch.Known != 8) {
				t.Errorf("%d at %v, %+v", s.Revision(), at, next)
			}
			if err != nil && (s.Revision() != 7 || at <= 2*time.Second || next.Server == call.Server || next.Watch.Known != 7) {
				t.Errorf("%d at %v, %+v", s.Revision(), at, next)
			}
		})
	}
}

// A version that the machine could not store is requested and accepted again, after a pause.
func TestStoreFailed(t *testing.T) {
	s := NewSubscriber(DefaultSubscriberOptions("a", "m", 3, func(n int64) int64 { return n / 2 }), 7, 0)
	for range 3 {
		now, _ := s.NextCallAt()
		c := s.Begin(now)
		v := version("a", 8, `{"n":8}`)
		if got, err := s.Answered(now, WatchResponse{Newer: &v}); got == nil || err != nil || c.Watch.Known != 7 {
			t.Fatalf("%+v: %v %v", c, got, err)
		}
		s.StoreFailed(now, 7)
		if at, ok := s.NextCallAt(); !ok || s.Revision() != 7 || at < now+s.options.ReconnectWindow/2 || at > now+2*s.options.ReconnectWindow {
			t.Fatalf("holds %d, next call at %v", s.Revision(), at-now)
		}
	}
}

// Over a random sequence of calls, checks when each is made, to which coordinator, and how long it waits.
func TestCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		servers := rapid.IntRange(1, 4).Draw(t, "servers")
		now := time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "now"))
		o := DefaultSubscriberOptions("a", "m", servers, rnd.Int64N)
		s := NewSubscriber(o, 0, now)
		if at, ok := s.NextCallAt(); !ok || at < now || at >= now+o.ReconnectWindow {
			t.Fatalf("the first call is after %v", at-now)
		}
		server, since, failed := -1, now, false
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			at, _ := s.NextCallAt()
			now = max(now, at)
			c := s.Begin(now)
			if _, ok := s.NextCallAt(); ok {
				t.Fatal("a second call while one is in flight")
			}
			if w := c.Watch; w.Check() != nil || w.Service != "a" || w.Member != "m" ||
				w.MaxWait > o.MaxWait || w.MaxWait < o.MaxWait*3/4 || c.Deadline != now+w.MaxWait+o.ResponseTimeout {
				t.Fatalf("%+v", c)
			}
			if c.Server < 0 || c.Server >= servers || failed && servers > 1 && c.Server == server {
				t.Fatalf("%+v after %d", c, server)
			}
			if c.Server != server || failed {
				if !failed && server >= 0 && now-since < o.RebalanceAfter/2 {
					t.Fatalf("left the coordinator after %v", now-since)
				}
				since = now
			} else if servers > 1 && now-since > o.RebalanceAfter {
				t.Fatalf("stays at the coordinator for %v", now-since)
			}
			server = c.Server
			if failed = rapid.IntRange(0, 3).Draw(t, "fails") == 0; failed {
				now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, c.Deadline - now}).Draw(t, "after")
				s.Failed(now)
				s.Failed(now) // has no effect the second time
				if at, ok := s.NextCallAt(); !ok || at < now || at > now+o.MaxBackoff {
					t.Fatalf("pause of %v", at-now)
				}
				pause, _ := s.NextCallAt()
				s.Answered(now, WatchResponse{}) // a response after the call has failed
				if at, _ := s.NextCallAt(); at != pause {
					t.Fatalf("a late response moved the next call from %v to %v", pause, at)
				}
				continue
			}
			now += c.Watch.MaxWait
			if v, err := s.Answered(now, WatchResponse{}); v != nil || err != nil {
				t.Fatal(v, err)
			}
			if at, ok := s.NextCallAt(); !ok || at != now {
				t.Fatalf("the next call is after %v, want 0", at-now)
			}
			if v, err := s.Answered(now, WatchResponse{}); v != nil || err != nil { // a duplicate
				t.Fatal(v, err)
			}
		}
	})
}

// While no coordinator answers, the windows grow to half of MaxBackoff, with one call in each at a random time.
func TestBackoffGrows(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	var late, early int
	for range 1000 {
		s := NewSubscriber(DefaultSubscriberOptions("a", "m", 1, rnd.Int64N), 0, 0)
		from, to := time.Duration(0), 2*time.Second
		for n := range 40 {
			at, _ := s.NextCallAt()
			if at < from || at >= to {
				t.Fatalf("call %d at %v, want %v to %v", n, at, from, to)
			}
			if at-from > (to-from)*9/10 {
				late++
			}
			if at-from < (to-from)/10 {
				early++
			}
			s.Begin(at)
			s.Failed(at)
			if from, to = to, to+2500*time.Millisecond; n == 0 { // the first window after a loss is ReconnectWindow
				to = from + 2*time.Second
			}
		}
	}
	if late < 3500 || late > 4500 || early < 3500 || early > 4500 {
		t.Errorf("%d of 40000 in the first tenth of their window, %d in the last", early, late)
	}
}

// Some time after a coordinator has come back, the load is balanced over all coordinators again.
func TestLoadIsBalancedAgain(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	callers := make([]int, 3) // by coordinator
	for range 3000 {
		s := NewSubscriber(DefaultSubscriberOptions("a", "m", 3, rnd.Int64N), 0, 0)
		var c Call
		for now := time.Duration(0); now < 4*time.Minute; {
			now, _ = s.NextCallAt()
			if c = s.Begin(now); now < time.Minute && c.Server == 0 { // coordinator 0 is down for the first minute
				s.Failed(now)
				continue
			}
			s.Answered(now+c.Watch.MaxWait, WatchResponse{})
		}
		callers[c.Server]++
	}
	for server, n := range callers {
		if n < 850 || n > 1150 {
			t.Errorf("%d agents call coordinator %d: %v", n, server, callers)
		}
	}
}

// Whatever responses arrive, from any coordinator and in any order, a subscriber accepts no older version, none of another
// service and none with incomplete content. After the coordinators were restored from a backup, or started without data, all
// subscribers accept a version that was published above the revisions that they hold.
func TestRevisionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := []string{"a", "b"}
		r := NewRegister()
		snapshots := []json.RawMessage{nil}
		versions := []Version{}
		var subs []*Subscriber
		for i := range 4 {
			subs = append(subs, NewSubscriber(DefaultSubscriberOptions(services[i%2], fmt.Sprint(i), 3,
				rand.New(rand.NewPCG(uint64(i), 1)).Int64N), 0, 0))
		}
		content := 0
		publish := func(service string, above Revision) Version {
			newest, _ := r.Newest(service)
			content++
			a := r.Apply(Command{service, newest.Revision, above, json.RawMessage(fmt.Sprintf(`{"n":%d}`, content)), false})
			if a.Refused != "" {
				t.Fatal(a)
			}
			v, _ := r.Newest(service)
			versions = append(versions, v)
			snapshots = append(snapshots, r.Snapshot())
			return v
		}
		deliver := func(s *Subscriber, sent Version) {
			before := s.Revision()
			late := rapid.Bool().Draw(t, "late")
			var v *Version
			var err error
			if late {
				v, err = s.Accept(WatchResponse{Newer: &sent})
			} else {
				s.Begin(0)
				v, err = s.Answered(0, WatchResponse{Newer: &sent})
			}
			valid := sent.Service == s.options.Service && sent.Revision > before && sent.Digest == Digest(sent.Content)
			if valid != (v != nil) || valid != (err == nil) || s.Revision() < before {
				t.Fatalf("%s at %d: %+v, %v, holds %d", s.options.Service, before, sent, err, s.Revision())
			}
			if valid && (s.Revision() != v.Revision || v.Revision <= before) || !valid && s.Revision() != before {
				t.Fatalf("revision %d became %d after %+v", before, s.Revision(), sent)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) { publish(rapid.SampledFrom(services).Draw(t, "service"), 0) },
			"restore": func(*rapid.T) {
				var err error
				if r, err = RestoreRegister(rapid.SampledFrom(snapshots).Draw(t, "back-up")); err != nil {
					t.Fatal(err)
				}
			},
			"send the newest": func(*rapid.T) {
				s := rapid.SampledFrom(subs).Draw(t, "subscriber")
				if v, ok := r.Newest(s.options.Service); ok {
					deliver(s, v)
				}
			},
			"send any": func(*rapid.T) {
				if len(versions) == 0 {
					return
				}
				v := rapid.SampledFrom(versions).Draw(t, "version")
				if rapid.IntRange(0, 3).Draw(t, "half") == 0 {
					v.Content = v.Content[:rapid.IntRange(0, len(v.Content)-1).Draw(t, "bytes")]
				}
				deliver(rapid.SampledFrom(subs).Draw(t, "subscriber"), v)
			},
			"publish above": func(*rapid.T) {
				service := rapid.SampledFrom(services).Draw(t, "service")
				held := Revision(0)
				for _, s := range subs {
					held = max(held, s.Revision())
				}
				v := publish(service, held)
				for _, s := range subs {
					if s.options.Service == service {
						if deliver(s, v); s.Revision() != v.Revision {
							t.Fatalf("holds revision %d, want %d", s.Revision(), v.Revision)
						}
					}
				}
			},
		})
	})
}
