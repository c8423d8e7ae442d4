package engines

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// classScore is the results of the requests of a class. Values are in the users' units.
type classScore struct {
	requests, lateFirst, lateGap, lost float64

	value       valueScore
	large       valueScore              // of its large requests alone, see largeSize
	timeToFirst *hdrhistogram.Histogram // µs to the first event
}

// valueScore is the value that some requests might have earned, and that they did.
type valueScore struct{ possible, earned float64 }

func (v valueScore) fraction() float64 { return v.earned / max(v.possible, tiny) }

// tiny avoids a division by zero.
const tiny = 1e-9

// score is the result of one simulation.
type score struct {
	spec           *Spec
	classes        []*classScore
	arrivals       []float64           // by server
	windows        map[int]*valueScore // by their number
	crossZoneBytes float64
	rereadTokens   float64 // of shared parts that were cached at another server
	prefillTokens  float64
	migrated       float64                  // long answers that continued at another server
	lastUse        map[uint64]time.Duration // of a shared part, anywhere
}

// The histograms of times count up to a minute.
const (
	maxTimeToFirst    = int64(time.Minute / time.Microsecond)
	significantDigits = 2
)

// newScore is the score before the first request.
func newScore(s *Spec) *score {
	c := &score{spec: s, arrivals: make([]float64, s.Servers), lastUse: map[uint64]time.Duration{}, windows: map[int]*valueScore{}}
	for range s.Classes {
		c.classes = append(c.classes, &classScore{timeToFirst: hdrhistogram.New(1, maxTimeToFirst, significantDigits)})
	}
	return c
}

// count adds a request that has ended to its class; nil: it is not counted.
func (c *score) count(r *request) *classScore {
	if r.arrival.at < c.spec.WarmUp {
		return nil
	}
	class := c.classes[r.arrival.class]
	class.requests++
	class.value.possible += r.class.Value * r.arrival.relativeSize
	c.window(r).possible += r.class.Value * r.arrival.relativeSize
	return class
}

// windowLength is the length of the windows of which the worst count.
const windowLength = 2 * time.Second

// window is the score of the requests that arrived in the same window.
func (c *score) window(r *request) *valueScore {
	n := int(r.arrival.at / windowLength)
	if c.windows[n] == nil {
		c.windows[n] = &valueScore{}
	}
	return c.windows[n]
}

// worstWindows is the mean of the two worst.
func (c *score) worstWindows() float64 {
	var fractions []float64
	for _, w := range c.windows {
		fractions = append(fractions, w.earned/w.possible)
	}
	slices.Sort(fractions)
	return (fractions[0] + fractions[min(1, len(fractions)-1)]) / 2
}

// The weights of the whole day, the worst windows and the worst class in the users' goal.
const (
	totalWeight  = 0.75
	windowWeight = 0.15
	classWeight  = 0.1
)

// recordServed records a request whose complete answer came before its deadline.
func (c *score) recordServed(r *request) {
	class := c.count(r)
	if class == nil {
		return
	}
	timeToFirst := r.stream.firstEventAt - r.arrival.at
	_ = class.timeToFirst.RecordValue(timeToFirst.Microseconds()) // a longer time is not in the quantiles
	value := r.class.Value
	switch {
	case timeToFirst > r.class.LatencyTarget:
		class.lateFirst++
		value = r.class.LateValue
	case r.stream.maxGap > r.class.GapTarget:
		class.lateGap++
		value = r.class.LateValue
	}
	c.earn(class, r, value)
}

// recordLost records a request without a complete answer.
func (c *score) recordLost(r *request) {
	if class := c.count(r); class != nil {
		class.lost++
		c.earn(class, r, 0)
	}
}

// largeSize is the size, beside the mean, from which a request counts among the large ones that are scored by themselves.
const largeSize = 1.9

// earn adds what a request earned to its class, its window and the large requests.
func (c *score) earn(class *classScore, r *request, value float64) {
	class.value.earned += value * r.arrival.relativeSize
	c.window(r).earned += value * r.arrival.relativeSize
	if r.arrival.relativeSize >= largeSize {
		class.large.possible += r.class.Value * r.arrival.relativeSize
		class.large.earned += value * r.arrival.relativeSize
	}
}

// recordReread records the shared parts of a prompt that a server has to read though some server read them recently.
func (c *score) recordReread(s *server, a *arrival, now time.Duration) {
	cached := s.cache.prefixTokens(a)
	for _, p := range a.parts {
		if last, ok := c.lastUse[p.key]; cached <= 0 && ok && now-last < c.spec.PrefixTTL && a.at >= c.spec.WarmUp {
			c.rereadTokens += float64(p.tokens)
		}
		cached -= p.tokens
		c.lastUse[p.key] = now
	}
}

// finish adds what the servers counted.
func (c *score) finish(sim *simulation) {
	for _, s := range sim.servers {
		c.prefillTokens += s.prefillTotal
	}
}

// metrics are what an experiment compares, by name. Files of results and the pages have the names.
func (c *score) metrics() map[string]float64 {
	var total valueScore
	worstClass := 1.0
	metrics := map[string]float64{}
	for i, class := range c.classes {
		total.possible += class.value.possible
		total.earned += class.value.earned
		worstClass = min(worstClass, class.value.fraction())
		if class.large.possible > 0 {
			worstClass = min(worstClass, class.large.fraction())
		}
		class.addMetrics(metrics, c.spec.Classes[i].Name+" ")
	}
	busiest, sum := 0.0, 0.0
	for _, n := range c.arrivals {
		busiest, sum = max(busiest, n), sum+n
	}
	price := (c.spec.Prices.PerCrossZoneGB*c.crossZoneBytes/1e9 + c.spec.Prices.Per1000RereadTokens*c.rereadTokens/1000) / max(total.possible, tiny)
	metrics["worth"] = total.fraction()
	metrics["price"] = price
	metrics["windows"] = c.worstWindows()
	metrics["goal"] = totalWeight*total.earned/max(total.possible, tiny) + windowWeight*c.worstWindows() + classWeight*worstClass - price
	metrics["read M"] = c.prefillTokens / 1e6
	metrics["again M"] = c.rereadTokens / 1e6
	metrics["cross GB"] = c.crossZoneBytes / 1e9
	metrics["busiest/mean"] = busiest / max(tiny, sum/float64(len(c.arrivals)))
	metrics["moved"] = c.migrated
	return metrics
}

// addMetrics adds those of a class.
func (c *classScore) addMetrics(metrics map[string]float64, prefix string) {
	percent := func(requests float64) float64 { return 100 * requests / max(1, c.requests) }
	metrics[prefix+"late first %"] = percent(c.lateFirst)
	metrics[prefix+"late pause %"] = percent(c.lateGap)
	metrics[prefix+"lost %"] = percent(c.lost)
	metrics[prefix+"worth"] = c.value.fraction()
	metrics[prefix+"large"] = c.large.fraction()
	metrics[prefix+"p99 ms"] = float64(c.timeToFirst.ValueAtQuantile(99)) / 1000
}
