// Package latency accounts for the time of requests: which part of it each spent waiting for what, and what made those that missed their
// objective miss it. It is pure, for one goroutine at a time.
//
// A Trace is one request's own; Totals add up traces by route and by reason, and keep histograms of the phases. Totals grow with the
// routes in use, up to maxRoutes; the others are counted together.
package latency

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Phase is a part of a request's time until the first part of its answer.
type Phase int

// The phases, in the order in which a request goes through them.
const (
	Start    Phase = iota // until the router had a configuration and servers
	Quota                 // until the tenant's limit was asked for
	Rerouted              // at servers that did not answer
	Connect               // until the connection to the server that answered was there
	Server                // from then to the first part: its queue, the prompts before it, its own prompt
	phases
)

var phaseNames = [phases]string{"start", "quota", "rerouted", "connect", "server"}

// String is the phase's name in reports.
func (p Phase) String() string { return phaseNames[p] }

// Reason is what became of a request, and why.
type Reason string

// The reasons. A late request has the phase that took longest, or what came after the first part.
const (
	InTime        Reason = "in_time"
	LateGap       Reason = "late_pause" // between two parts of a stream
	RefusedLimit  Reason = "refused_limit"
	RefusedEnding Reason = "refused_ending"
	RefusedServer Reason = "refused_no_server"
	RefusedStart  Reason = "refused_start"
	LostTime      Reason = "lost_out_of_time"
	LostBroken    Reason = "lost_broken_off"
	ClientGone    Reason = "client_gone"

	latePrefix = "late_"
)

// Trace is the time of one request.
type Trace struct {
	PhaseTimes      [phases]time.Duration
	TimeToFirstByte time.Duration // from its beginning to the first part; 0: none came
	MaxGap          time.Duration // the longest between two parts
	FailureReason   Reason        // why it was not served; "": it was
	Server          string        // that answered, or was asked last
	Attempts        int
}

// Reason says what became of a request with an objective for the first part, and one for pauses; 0: it has none.
func (t *Trace) Reason(aim, pause time.Duration) Reason {
	switch {
	case t.FailureReason != "":
		return t.FailureReason
	case aim > 0 && t.TimeToFirstByte > aim:
		return Reason(latePrefix + t.longest().String())
	case pause > 0 && t.MaxGap > pause:
		return LateGap
	}
	return InTime
}

func (t *Trace) longest() Phase {
	longest := Server
	for p := range phases {
		if t.PhaseTimes[p] > t.PhaseTimes[longest] {
			longest = p
		}
	}
	return longest
}

const (
	maxRoutes  = 64
	otherRoute = "(others)"
	unit       = 100 * time.Microsecond
	mostUnits  = int64(time.Minute / unit)
	digits     = 1
)

// Totals adds up what became of requests.
type Totals struct{ routes map[string]*routeTotals }

type routeTotals struct {
	reasons map[Reason]int64
	first   *hdrhistogram.Histogram
	spent   [phases]*hdrhistogram.Histogram
}

// NewTotals makes totals of nothing.
func NewTotals() *Totals { return &Totals{routes: map[string]*routeTotals{}} }

// Add adds a request of a route.
func (t *Totals) Add(route string, trace *Trace, reason Reason) {
	r := t.route(route)
	r.reasons[reason]++
	if trace.TimeToFirstByte == 0 {
		return
	}
	record(&r.first, trace.TimeToFirstByte)
	for p, spent := range trace.PhaseTimes {
		if spent >= unit {
			record(&r.spent[p], spent)
		}
	}
}

func (t *Totals) route(name string) *routeTotals {
	r := t.routes[name]
	if r == nil && len(t.routes) >= maxRoutes {
		name = otherRoute
		r = t.routes[name]
	}
	if r == nil {
		r = &routeTotals{reasons: map[Reason]int64{}}
		t.routes[name] = r
	}
	return r
}

func record(h **hdrhistogram.Histogram, d time.Duration) {
	if *h == nil {
		*h = hdrhistogram.New(1, mostUnits, digits)
	}
	(*h).RecordValue(min(mostUnits, max(1, int64(d/unit))))
}

// Report is what a router tells of one route.
type Report struct {
	Route   string
	Reasons map[Reason]int64
	First   Quantiles            // from the request to the first part of its answer
	Spent   map[string]Quantiles // of that, by phase; of the requests that spent 0.1 ms or more there
}

// Quantiles are of a histogram, in milliseconds.
type Quantiles struct {
	Count                int64
	P50, P90, P99, Worst float64
}

// Reports tells of all routes, by name.
func (t *Totals) Reports() []Report {
	var all []Report
	for name, r := range t.routes {
		one := Report{Route: name, Reasons: map[Reason]int64{}, First: quantiles(r.first), Spent: map[string]Quantiles{}}
		for reason, n := range r.reasons {
			one.Reasons[reason] = n
		}
		for p, h := range r.spent {
			if h != nil {
				one.Spent[Phase(p).String()] = quantiles(h)
			}
		}
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b Report) int {
		if a.Route < b.Route {
			return -1
		}
		return 1
	})
	return all
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h == nil {
		return Quantiles{}
	}
	ms := func(units int64) float64 { return float64(units) * float64(unit) / float64(time.Millisecond) }
	return Quantiles{Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)), P99: ms(h.ValueAtQuantile(99)), Worst: ms(h.Max())}
}
