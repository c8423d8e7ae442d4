package engines

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// smallDay is a day with few requests on a small fleet.
const smallDay = `
length: 6s
warm: 1s
zones: 3
routers: 12
servers: 9
again: 5s
seeds: 2
swing: 0.2
period: 3s
network: {client: 1ms, in_zone: 200us, cross_zone: 900us, link_mbps: 10, tell_uses: 100ms, tell_loads: 50ms}
engine: {slots: 12, queue: 36, memory: 872000, step: 574us, step_each: 2190ns, context_each_k: 1220ns, read_per_ms: 346, pairs_per_m: 111us, first: 6ms, stride: 56, chunk: 1024}
classes:
  - {name: check, rate: 160, aim: 250ms, pause: 200ms, deadline: 2s, worth: 2, late: 1, attempts: 1, events: {mean: 1.5, spread: 1.4, most: 6}, prompt: {mean: 2890, spread: 1, most: 18300}, shared: [{things: 4, tokens: {mean: 2520, spread: 0.4, most: 6290}}, {things: 1000, skew: 0.3, tokens: {mean: 3780, spread: 0.7, most: 11300}}]}
  - {name: chat, rate: 8, aim: 150ms, pause: 200ms, deadline: 15s, worth: 3, late: 1.5, attempts: 2, resumable: true, events: {mean: 72.5, spread: 0.84, most: 171}, prompt: {mean: 141, spread: 0.8, most: 1020}}
faults:
  - {kind: slow, at: 2s, for: 2s, share: 0.2, factor: 2.6}
`

func parseSpec(t *testing.T, text string) *Spec {
	t.Helper()
	s, err := Parse("day.yaml", []byte(text))
	require.NoError(t, err)
	return s
}

func TestBadFiles(t *testing.T) {
	for change, want := range map[string]string{
		"servers: 9->servers: 1":       "day.yaml:6: servers: write one for each zone at least",
		"slots: 12->slots: 0":          "day.yaml:12: engine.slots: write 1 or more",
		"kind: slow->kind: snail":      "day.yaml:17: faults.0.kind: write slow, crash, burst or hot_key",
		"rate: 8->rate: 0":             "day.yaml:15: classes.1.rate: write requests a second",
		"again: 5s->agaim: 5s":         "line 7: field agaim not found",
		"seeds: 2->policies: [best]":   "day.yaml:8: policies.0: known are now,",
		"length: 6s->length: tomorrow": "line 2: cannot unmarshal",
	} {
		before, after, _ := strings.Cut(change, "->")
		_, err := Parse("day.yaml", []byte(strings.Replace(smallDay, before, after, 1)))
		require.ErrorContains(t, err, want, change)
	}
	_, err := Parse("day.yaml", nil)
	require.ErrorContains(t, err, "day.yaml:1: the file is empty")
}

// The experiment in the repository is valid.
func TestTheDayOfTheRepository(t *testing.T) {
	const name = "../../../deploy/experiments/prompts-beside-chats.yaml"
	text, err := os.ReadFile(name)
	require.NoError(t, err)
	_, err = Parse(name, text)
	require.NoError(t, err)
}

// singleServer is one server, and the times of its requests' events, by request; -1 is a failure.
type singleServer struct {
	schedule *schedule
	server   *server
	events   map[string][]time.Duration
}

func newSingleServer(t *testing.T) *singleServer {
	t.Helper()
	a := &singleServer{schedule: &schedule{}, events: map[string][]time.Duration{}}
	a.server = newServer(a.schedule, &parseSpec(t, smallDay).Engine, 0, 0)
	return a
}

func (a *singleServer) submit(name string, at time.Duration, arrival arrival) {
	r := &run{arrival: &arrival, onEnd: func(ok bool) {
		if !ok {
			a.events[name] = append(a.events[name], -1)
		}
	}}
	r.onEvent = func(int, bool) { a.events[name] = append(a.events[name], a.schedule.now) }
	a.schedule.at(at, func() { a.server.accept(r) })
}

// The first event comes after the prompt's chunks and the first event's delay; later events are TokensPerEvent steps apart, however long the prompt was.
func TestOneRequest(t *testing.T) {
	a := newSingleServer(t)
	a.submit("one", 0, arrival{ownTokens: 1024, events: 3})
	a.schedule.run(time.Second)
	step := a.server.engine.StepTime + a.server.engine.StepTimePerRequest
	reading := 2_959_537*time.Nanosecond + 58_195*time.Nanosecond // 1,024 tokens at 346 a ms, and half a million pairs
	require.InDelta(t, step+reading+6*time.Millisecond, a.events["one"][0], 1e4)
	require.Len(t, a.events["one"], 3)
	require.InDelta(t, 56*step, a.events["one"][2]-a.events["one"][1], 2e5)
}

// The prefill of a prompt delays the tokens of the requests beside it.
func TestPromptsHoldUpAnswers(t *testing.T) {
	a := newSingleServer(t)
	a.submit("chat", 0, arrival{ownTokens: 100, events: 40})
	a.submit("prompt", 300*time.Millisecond, arrival{ownTokens: 60_000, events: 1})
	a.schedule.run(5 * time.Second)
	longest := time.Duration(0)
	for i, at := range a.events["chat"][1:] {
		longest = max(longest, at-a.events["chat"][i])
	}
	require.Greater(t, longest, 200*time.Millisecond)
	require.Len(t, a.events["chat"], 40)
}

// A cached part is not read again; the least recently used parts are evicted, and a crash empties the cache.
func TestPrefixCache(t *testing.T) {
	a := newSingleServer(t)
	shared := []prefixPart{{1, 3000}, {2, 3000}}
	a.server.engine.CacheTokens = 20_000
	a.submit("first", 0, arrival{parts: shared, ownTokens: 100, events: 1})
	a.submit("again", time.Second, arrival{parts: shared, ownTokens: 100, events: 1})
	a.schedule.run(2 * time.Second)
	first, again := a.events["first"][0], a.events["again"][0]-time.Second
	require.Greater(t, first-again, 15*time.Millisecond)
	require.Equal(t, 6000, a.server.cache.prefixTokens(&arrival{parts: shared}))
	a.submit("others", 2*time.Second, arrival{parts: []prefixPart{{3, 15_000}}, ownTokens: 100, events: 1})
	a.schedule.run(3 * time.Second)
	require.Zero(t, a.server.cache.prefixTokens(&arrival{parts: shared}))
	a.server.crash()
	require.Zero(t, a.server.cache.prefixTokens(&arrival{parts: []prefixPart{{3, 15_000}}}))
}

// A full batch queues, a full queue rejects, and a crash ends all requests.
func TestSlotsAndQueue(t *testing.T) {
	a := newSingleServer(t)
	a.server.engine.Slots, a.server.engine.QueueLength = 2, 1
	for i := range 3 {
		require.True(t, a.server.accept(&run{arrival: &arrival{ownTokens: 10, events: 50}, onEvent: func(int, bool) {}, onEnd: func(ok bool) { a.events["ended"] = append(a.events["ended"], time.Duration(i)) }}))
	}
	require.False(t, a.server.accept(&run{arrival: &arrival{ownTokens: 10, events: 1}}))
	a.server.crash()
	require.Len(t, a.events["ended"], 3)
}

// The same seed gives the same result.
func TestPlaysRepeat(t *testing.T) {
	s := parseSpec(t, smallDay)
	for _, name := range []string{"now", "stall", "two choices"} {
		a := simulate(s, findPolicy(name), arrivals(s, 3), 3).metrics()
		b := simulate(s, findPolicy(name), arrivals(s, 3), 3).metrics()
		require.Equal(t, a, b, name)
	}
}

// With the other routers' reports more requests are served in time than without, and shared parts are read again
// less often than with round robin.
func TestPoliciesDiffer(t *testing.T) {
	s := parseSpec(t, smallDay)
	s.Policies, s.Seeds = []string{"now", "before", "round robin"}, 4
	out, err := Run(t.Context(), s, 4)
	require.NoError(t, err)
	now, before, roundRobin := out[0].Metrics, out[1].Metrics, out[2].Metrics
	require.Greater(t, now["goal"].Mean, before["goal"].Mean)
	require.Less(t, now["chat late pause %"].Mean, before["chat late pause %"].Mean)
	require.Greater(t, roundRobin["again M"].Mean, 5*now["again M"].Mean)
}

// Servers that crash lose their requests; one that may be resumed continues at another server.
func TestCrashes(t *testing.T) {
	s := parseSpec(t, strings.Replace(smallDay, "kind: slow", "kind: crash", 1))
	figures := simulate(s, findPolicy("now"), arrivals(s, 1), 1).metrics()
	require.Greater(t, figures["check lost %"], 0.0)
	require.Less(t, figures["chat lost %"], figures["check lost %"]+1)
}

func TestBurstsAndHotKeys(t *testing.T) {
	burst := strings.Replace(smallDay, "{kind: slow, at: 2s, for: 2s, share: 0.2, factor: 2.6}", "{kind: burst, at: 2s, for: 2s, class: check, factor: 2}", 1)
	require.Greater(t, len(arrivals(parseSpec(t, burst), 1)), len(arrivals(parseSpec(t, smallDay), 1))+200)
	hot := strings.Replace(smallDay, "{kind: slow, at: 2s, for: 2s, share: 0.2, factor: 2.6}", "{kind: hot_key, at: 2s, for: 2s, class: check, share: 0.5}", 1)
	n := 0
	for _, a := range arrivals(parseSpec(t, hot), 1) {
		if len(a.parts) > 1 && a.parts[1].key&0xffffffff == 0 {
			n++
		}
	}
	require.Greater(t, n, 100)
}

func TestScaled(t *testing.T) {
	s := parseSpec(t, smallDay)
	large := s.Scaled(120)
	require.Equal(t, 90, large.Servers)
	require.InDelta(t, 1600, large.Classes[0].Rate, 1e-9)
	require.Equal(t, []int{4, 10_000}, []int{large.Classes[0].SharedParts[0].Variants, large.Classes[0].SharedParts[1].Variants})
	require.Equal(t, 1000, s.Classes[0].SharedParts[1].Variants, "the spec itself stays")
}

func TestReports(t *testing.T) {
	s := parseSpec(t, smallDay)
	s.Policies, s.Seeds = []string{"now"}, 2
	out, err := Run(t.Context(), s, 2)
	require.NoError(t, err)
	var text, data strings.Builder
	reports := []Report{{Routers: s.Routers, Servers: s.Servers, Seeds: s.Seeds, Outcomes: out}}
	require.NoError(t, WriteText(&text, reports))
	require.Contains(t, text.String(), fmt.Sprintf("%d routers, %d servers", s.Routers, s.Servers))
	require.Contains(t, text.String(), "chat late pause %")
	require.NoError(t, WriteJSON(&data, reports))
	require.Contains(t, data.String(), `"Policy": "now"`)
}
