package latency

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRoutes  = 64
	otherRoute = "(others)"

	// Histograms count ticks of resolution, up to a minute, with one significant digit: a quantile has an error of up to
	// 10 %.
	resolution        = 100 * time.Microsecond
	maxTicks          = int64(time.Minute / resolution)
	significantDigits = 1
)

// Totals aggregates the outcomes and phases of requests by route. NewTotals creates it.
type Totals struct{ routes map[string]*routeTotals }

// routeTotals holds the totals of one route. Histograms are nil until they have a value.
type routeTotals struct {
	reasons         map[Reason]int64
	timeToFirstByte *hdrhistogram.Histogram
	phaseTimes      [phaseCount]*hdrhistogram.Histogram
}

// NewTotals returns an empty Totals.
func NewTotals() *Totals { return &Totals{routes: map[string]*routeTotals{}} }

// Add adds a request of a route that has ended; reason is the result of Trace.Reason. Add counts routes beyond maxRoutes
// together.
func (t *Totals) Add(route string, trace *Trace, reason Reason) {
	r := t.route(route)
	r.reasons[reason]++
	if trace.TimeToFirstByte == 0 {
		return
	}
	record(&r.timeToFirstByte, trace.TimeToFirstByte)
	for p, spent := range trace.PhaseTimes {
		if spent >= resolution {
			record(&r.phaseTimes[p], spent)
		}
	}
}

// route returns the totals of a route, and creates them if there are none. If there are maxRoutes already, it returns
// those of otherRoute.
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

// record adds a duration to a histogram, and creates the histogram if it is nil.
func record(h **hdrhistogram.Histogram, d time.Duration) {
	if *h == nil {
		*h = hdrhistogram.New(1, maxTicks, significantDigits)
	}
	_ = (*h).RecordValue(min(maxTicks, max(1, int64(d/resolution)))) // never fails: the value is within the histogram's range
}

// Report is the part of a router's status about one route. Its JSON names must not change.
type Report struct {
	Route           string
	Reasons         map[Reason]int64
	TimeToFirstByte Quantiles            `json:"First"` // from a request's receipt to the first part of its answer
	PhaseTimes      map[string]Quantiles `json:"Spent"` // of that time, by phase; phases below 0.1 ms are not counted
}

// Quantiles holds quantiles of a histogram in milliseconds, and the number of its values. Worst is the largest value.
type Quantiles struct {
	Count                int64
	P50, P90, P99, Worst float64
}

// Reports returns the totals of all routes, ordered by route name.
func (t *Totals) Reports() []Report {
	var reports []Report
	for name, r := range t.routes {
		report := Report{
			Route:           name,
			Reasons:         map[Reason]int64{},
			TimeToFirstByte: quantiles(r.timeToFirstByte),
			PhaseTimes:      map[string]Quantiles{},
		}
		for reason, n := range r.reasons {
			report.Reasons[reason] = n
		}
		for p, h := range r.phaseTimes {
			if h != nil {
				report.PhaseTimes[Phase(p).String()] = quantiles(h)
			}
		}
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b Report) int { return strings.Compare(a.Route, b.Route) })
	return reports
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h == nil {
		return Quantiles{}
	}
	milliseconds := func(ticks int64) float64 {
		return float64(ticks) * float64(resolution) / float64(time.Millisecond)
	}
	return Quantiles{Count: h.TotalCount(), P50: milliseconds(h.ValueAtQuantile(50)), P90: milliseconds(h.ValueAtQuantile(90)),
		P99: milliseconds(h.ValueAtQuantile(99)), Worst: milliseconds(h.Max())}
}
