package audit

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/rig/scenario"
)

const ms = time.Millisecond

// service is a scenario with a class of each effect.
func service(t *testing.T) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("test", strings.NewReader(`
fleet 4 cells=2 cores=1
class read effect=safe deadline=1s
class book effect=keyed group=cell window=500ms deadline=1s
class any effect=keyed window=500ms deadline=1s
class void effect=unsafe deadline=1s
rules cold-from=10% cold-time=10s fall-multiple=2 fall-time=1s
arrive constant 1/s
`))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// served is a call that was sent at 1 s, waits for 400 ms, and was served by s1 after 20 ms.
func served(class string) (Call, Attempt) {
	c := Call{
		Trace: "t1", Operation: "1", Class: class, Sent: time.Second, ScheduledAt: time.Second, Patience: 400 * ms, Result: Served, Status: 200,
		Answered: 1020 * ms, Body: 7, HungUp: Never,
	}
	a := Attempt{
		Trace: "t1", Operation: "1", Class: class, Server: "s1", FirstInstance: "s1", Zone: "a", FirstByte: 1005 * ms, LastByte: 1005 * ms,
		WorkStarted: 1005 * ms, End: 1015 * ms, Work: 10 * ms, Status: 200, Body: 7,
	}
	return c, a
}

// rules are the rules of the breaches, in their order.
func rules(r Report) (list []Rule) {
	for _, b := range r.Breaches {
		list = append(list, b.Rule)
	}
	return list
}

// judgeCase is a change of the records of one served call, and the rules that are broken by it.
type judgeCase struct {
	name   string
	class  string
	change func(c *Call, a *Attempt, r *Records)
	want   []Rule
}

// checkJudge judges the records of each case.
func checkJudge(t *testing.T, cases []judgeCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			call, attempt := served(c.class)
			r := Records{Calls: []Call{call}, Attempts: []Attempt{attempt}, StateUpdates: []StateUpdate{{Server: "s1", State: Up}}}
			c.change(&r.Calls[0], &attempt, &r)
			report := Judge(service(t), r)
			if got := rules(report); !slices.Equal(got, c.want) {
				t.Errorf("%v, want %v: %v", got, c.want, report.Breaches)
			}
		})
	}
}

// Limits on the answers to a call, from both sides.
func TestLimitsOfAnswers(t *testing.T) {
	checkJudge(t, []judgeCase{
		{"served", "void", func(*Call, *Attempt, *Records) {}, nil},
		{"answered within the slack", "read", func(c *Call, _ *Attempt, _ *Records) { c.Answered = 1450 * ms }, nil},
		{"answered after it", "read", func(c *Call, _ *Attempt, _ *Records) { c.Answered = 1451 * ms }, []Rule{AnsweredLate}},
		{"sent within the slack of the answer", "read", func(_ *Call, a *Attempt, r *Records) {
			b := *a
			b.FirstByte = 1070 * ms
			r.Attempts = append(r.Attempts, b)
		}, nil},
		{"sent after it", "read", func(_ *Call, a *Attempt, r *Records) {
			b := *a
			b.FirstByte = 1071 * ms
			r.Attempts = append(r.Attempts, b)
		}, []Rule{SentAfterAnswer}},
		{"never answered", "read", func(c *Call, _ *Attempt, _ *Records) { c.Answered, c.Result, c.HungUp = Never, Lost, 1450*ms }, []Rule{Unanswered}},
		{"its client hung up early", "read", func(c *Call, _ *Attempt, _ *Records) { c.Answered, c.Result, c.HungUp = Never, Lost, 1100*ms }, nil},
		{"its sidecar was ended", "read", func(c *Call, _ *Attempt, r *Records) {
			c.Answered, c.Result = Never, Lost
			r.Kills = []Kill{{Sidecar: 0, From: 1300 * ms, To: 2 * time.Second}}
		}, nil},
		{"another sidecar was ended", "read", func(c *Call, _ *Attempt, r *Records) {
			c.Answered, c.Result = Never, Lost
			r.Kills = []Kill{{Sidecar: 1, From: 1300 * ms, To: 2 * time.Second}}
		}, []Rule{Unanswered}},
		{"not accepted", "read", func(c *Call, _ *Attempt, r *Records) {
			c.Sent, c.Answered, c.Result, r.Attempts = Never, Never, Unreached, nil
		}, nil},
		{"served by an error", "read", func(_ *Call, a *Attempt, r *Records) { r.Attempts[0].Status = 500 }, []Rule{WrongBody}},
	})
}

// Limits on repeated attempts, from both sides.
func TestLimitsOfRepeats(t *testing.T) {
	checkJudge(t, []judgeCase{
		{"a key, just within its window", "book", second(550*ms, 0), nil},
		{"a key, after it", "book", second(551*ms, 0), []Rule{RepeatedAfterWindow}},
		{"a key in another cell", "book", second(30*ms, 1), []Rule{RepeatedOutsideGroup}},
		{"a key of all in another cell", "any", second(30*ms, 1), nil},
		{"an unsafe one again", "void", second(30*ms, 0), []Rule{UnsafeRepeated}},
		{"a safe one again, much later", "read", second(300*ms, 1), nil},
		{"an unsafe one, after it was proved that it never ran", "void", func(c *Call, a *Attempt, r *Records) {
			second(30*ms, 0)(c, a, r)
			r.Attempts[0].NeverRan, r.Attempts[0].Status = true, 503
		}, nil},
		{"an unsafe one, before that was proved", "void", func(c *Call, a *Attempt, r *Records) {
			second(30*ms, 0)(c, a, r)
			r.Attempts[0].NeverRan, r.Attempts[0].Status, r.Attempts[0].End = true, 503, 1036*ms
		}, []Rule{UnsafeRepeated}},
		{"an unsafe one that had not arrived completely", "void", func(c *Call, a *Attempt, r *Records) {
			second(30*ms, 0)(c, a, r)
			r.Attempts[0].LastByte = Never
		}, nil},
	})
}

// Limits on refusals, from both sides.
func TestLimitsOfRefusals(t *testing.T) {
	checkJudge(t, []judgeCase{
		{"refused after it ran, safe", "read", refused, nil},
		{"refused after it ran, a key of all", "any", refused, nil},
		{"refused after it ran, a key of a cell", "book", refused, []Rule{HarmfulRefusal}},
		{"refused after it ran, unsafe", "void", refused, []Rule{HarmfulRefusal}},
		{"refused, and ran again", "void", func(c *Call, a *Attempt, r *Records) {
			refused(c, a, r)
			again, b := *c, *a
			again.Trace, again.Sent, again.Answered, again.Result, again.Body = "t2", 1100*ms, 1120*ms, Served, 8
			b.Trace, b.FirstByte, b.LastByte, b.WorkStarted, b.End, b.Body = "t2", 1105*ms, 1105*ms, 1105*ms, 1115*ms, 8
			r.Calls, r.Attempts = append(r.Calls, again), append(r.Attempts, b)
		}, []Rule{HarmfulRefusal, EffectRepeated}},
		{"refused at once", "void", func(c *Call, _ *Attempt, r *Records) { c.Result, r.Attempts = Refused, nil }, nil},
		{"refused at half of its time", "void", func(c *Call, _ *Attempt, r *Records) {
			c.Result, c.Answered, r.Attempts = Refused, 1200*ms, nil
		}, nil},
		{"refused after half of its time", "void", func(c *Call, _ *Attempt, r *Records) {
			c.Result, c.Answered, r.Attempts = Refused, 1201*ms, nil
		}, []Rule{AnswerWithheld}},
		{"refused late, after a server rejected it late", "void", func(c *Call, _ *Attempt, r *Records) {
			c.Result, c.Answered = Refused, 1350*ms
			r.Attempts[0].NeverRan, r.Attempts[0].End = true, 1340*ms
		}, nil},
	})
}

// Limits on attempts at servers that drain or have gone, from both sides.
func TestLimitsOfDraining(t *testing.T) {
	checkJudge(t, []judgeCase{
		{"to a draining server within the grace", "read", func(_ *Call, _ *Attempt, r *Records) {
			r.StateUpdates = append(r.StateUpdates, StateUpdate{Server: "s1", State: Draining, ReceivedAt: 705 * ms})
		}, nil},
		{"to a draining server after it", "read", func(_ *Call, _ *Attempt, r *Records) {
			r.StateUpdates = append(r.StateUpdates, StateUpdate{Server: "s1", State: Draining, ReceivedAt: 704 * ms})
		}, []Rule{SentToDraining}},
		{"another sidecar received that it drains", "read", func(_ *Call, _ *Attempt, r *Records) {
			r.StateUpdates = append(r.StateUpdates, StateUpdate{Sidecar: 1, Server: "s1", State: Draining, ReceivedAt: 0})
		}, nil},
		{"the grace does not begin anew when a draining server is removed", "read", func(_ *Call, _ *Attempt, r *Records) {
			r.StateUpdates = append(r.StateUpdates, StateUpdate{Server: "s1", State: Draining, ReceivedAt: 500 * ms}, StateUpdate{Server: "s1", State: Removed, ReceivedAt: 900 * ms})
		}, []Rule{SentToDraining}},
		{"it received that the server is up again", "read", func(_ *Call, _ *Attempt, r *Records) {
			r.StateUpdates = append(r.StateUpdates, StateUpdate{Server: "s1", State: Removed, ReceivedAt: 500 * ms}, StateUpdate{Server: "s1", State: Up, ReceivedAt: 900 * ms})
		}, nil},
		{"to the server that has the address of a removed one", "read", func(_ *Call, _ *Attempt, r *Records) {
			r.StateUpdates = append(r.StateUpdates, StateUpdate{Server: "s1", State: Removed, ReceivedAt: 500 * ms})
			r.Incarnations = []Incarnation{{Server: "s1", FirstInstance: "s1", Start: Never, End: 500 * ms, CollapsedAt: Never}}
			r.Attempts[0].Server = "s1.2"
		}, []Rule{SentToDraining}},
	})
}

// second returns a change that adds an attempt, by a duration later and in a cell, whose answer the call got.
func second(later time.Duration, cell int) func(*Call, *Attempt, *Records) {
	return func(c *Call, a *Attempt, r *Records) {
		b := *a
		b.Server, b.Cell = "s2", cell
		b.FirstByte, b.LastByte, b.WorkStarted, b.End = a.FirstByte+later, a.LastByte+later, a.WorkStarted+later, a.End+later
		r.Attempts = append(r.Attempts, b)
		r.Attempts[0].Status = 500
		c.Answered, c.Patience = b.End+5*ms, 900*ms
	}
}

// refused changes the records so that the call was refused although its attempt ran.
func refused(c *Call, _ *Attempt, r *Records) {
	c.Result, c.Status = Refused, 503
	r.Attempts[0].Status = 500
}

// A server in its slow start can do 2 times a tenth of a core for a second, and a tenth more for chance: 220 ms of work.
func TestSlowStarts(t *testing.T) {
	for _, c := range []struct {
		name     string
		each     time.Duration // work of each of 20 attempts within half a second
		informed int           // of the 20, those from the sidecar that received the start
		want     []Rule
	}{
		{"within its capacity", 11 * ms, 20, nil},
		{"more than that", 12 * ms, 20, []Rule{SlowStartOverload}},
		{"more, two thirds of the first 19 from the informed sidecar", 12 * ms, 13, []Rule{SlowStartOverload}},
		{"more, fewer from the informed sidecar", 12 * ms, 12, nil},
	} {
		r := Records{
			Incarnations: []Incarnation{{Server: "s1", FirstInstance: "s1", Start: 2 * time.Second, End: 9 * time.Second, CollapsedAt: Never,
				SlowStart: scenario.SlowStart{Fraction: 0.1, Duration: 1000 * time.Second}}},
			StateUpdates: []StateUpdate{{Sidecar: 1, Server: "s1", State: Up}, {Sidecar: 0, Server: "s1", State: Up}, {Sidecar: 0, Server: "s1", State: Up, ReceivedAt: 2 * time.Second}},
		}
		for i := range 20 {
			call, a := served("read")
			call.Trace = string(rune('a' + i))
			if i >= c.informed {
				call.Sidecar = 1
			}
			at := 2*time.Second + time.Duration(i)*25*ms
			call.Sent, call.Answered = at, at+20*ms
			a.Trace, a.FirstByte, a.LastByte, a.WorkStarted, a.End, a.Work = call.Trace, at, at, at, at+10*ms, c.each
			r.Calls, r.Attempts = append(r.Calls, call), append(r.Attempts, a)
		}
		report := Judge(service(t), r)
		if got := rules(report); !slices.Equal(got, c.want) || report.Judged.SlowStarts != 1 {
			t.Errorf("%s: %v, want %v: %v", c.name, got, c.want, report.Breaches)
		}
	}
}

// The order of the records does not matter; times in the JSON are in milliseconds.
func TestOrderDoesNotMatter(t *testing.T) {
	call, attempt := served("void")
	r := Records{Calls: []Call{call}, Attempts: []Attempt{attempt}, StateUpdates: []StateUpdate{{Server: "s1", State: Up}, {Server: "s1", State: Draining, ReceivedAt: 100 * ms}}}
	second(30*ms, 0)(&r.Calls[0], &attempt, &r)
	want, err := json.Marshal(Judge(service(t), r))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(want), `"rule":"2-repeated","request":"t1","servers":["s1","s2"],"at_ms":1035`) {
		t.Errorf("%s", want)
	}
	for range 20 {
		rand.Shuffle(len(r.Attempts), func(a, b int) { r.Attempts[a], r.Attempts[b] = r.Attempts[b], r.Attempts[a] })
		rand.Shuffle(len(r.StateUpdates), func(a, b int) { r.StateUpdates[a], r.StateUpdates[b] = r.StateUpdates[b], r.StateUpdates[a] })
		if got, _ := json.Marshal(Judge(service(t), r)); string(got) != string(want) {
			t.Fatalf("%s\n%s", got, want)
		}
	}
}
