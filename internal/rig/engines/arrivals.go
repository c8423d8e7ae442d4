package engines

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// prefixPart is one shared part of a prompt: its key contains the class, the part's index and the variant.
type prefixPart struct {
	key    uint64
	tokens int
}

// arrival is one request as its client sends it.
type arrival struct {
	at           time.Duration
	class        int
	zone         int
	router       int
	parts        []prefixPart
	ownTokens    int // of the prompt, after the shared parts
	events       int
	relativeSize float64 // beside its class's mean
}

// sharedTokens is the number of tokens of the shared parts.
func (a *arrival) sharedTokens() (tokens int) {
	for _, p := range a.parts {
		tokens += p.tokens
	}
	return tokens
}

// promptTokens is the number of tokens of the prompt.
func (a *arrival) promptTokens() int { return a.sharedTokens() + a.ownTokens }

// draw draws a size.
func (d Distribution) draw(r *rand.Rand) float64 {
	if d.Spread == 0 {
		return d.Mean
	}
	sigma := math.Sqrt(math.Log(1 + d.Spread*d.Spread))
	v := d.Mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
	if d.Max > 0 {
		v = min(v, d.Max)
	}
	return v
}

// partSource draws a variant of a shared part by their rank. Each variant's tokens are drawn once.
type partSource struct {
	cumulative []float64 // weights
	tokens     []int
}

// newPartSource draws the tokens of each variant of a part.
func newPartSource(p PromptPart, r *rand.Rand) partSource {
	source := partSource{cumulative: make([]float64, p.Variants), tokens: make([]int, p.Variants)}
	sum := 0.0
	for i := range p.Variants {
		sum += math.Pow(float64(i+1), -p.Skew)
		source.cumulative[i] = sum
		source.tokens[i] = max(1, int(p.Tokens.draw(r)))
	}
	return source
}

// draw draws a variant by the variants' weights.
func (s partSource) draw(r *rand.Rand) (variant int) {
	x := r.Float64() * s.cumulative[len(s.cumulative)-1]
	return min(sort.SearchFloat64s(s.cumulative, x), len(s.cumulative)-1)
}

// arrivals draws a day's requests, in order of time.
func arrivals(s *Spec, seed uint64) []arrival {
	var all []arrival
	for i := range s.Classes {
		all = append(all, classArrivals(s, i, rand.New(rand.NewPCG(seed, uint64(i))))...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// classArrivals draws the requests of one class: a Poisson process with the maximal rate, thinned to the rate of the time.
func classArrivals(s *Spec, class int, r *rand.Rand) []arrival {
	c := &s.Classes[class]
	sources := make([]partSource, len(c.SharedParts))
	for i, part := range c.SharedParts {
		sources[i] = newPartSource(part, r)
	}
	maxRate := s.maxRate(c)
	var all []arrival
	totalSize := 0.0
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / maxRate * float64(time.Second))
		if at >= s.Duration {
			break
		}
		rate, hot := s.rateAt(c, at)
		if r.Float64()*maxRate > rate {
			continue
		}
		a := s.drawArrival(class, sources, hot, r)
		a.at = at
		totalSize += a.relativeSize
		all = append(all, a)
	}
	for i := range all {
		all[i].relativeSize = min(maxSize, sizeFixed+(1-sizeFixed)*all[i].relativeSize/(totalSize/float64(len(all))))
	}
	return all
}

// drawArrival draws one request; hot is the probability that it has the first variants of its shared parts. Its relativeSize is not yet divided by the mean.
func (s *Spec) drawArrival(class int, sources []partSource, hot float64, r *rand.Rand) arrival {
	c := &s.Classes[class]
	a := arrival{class: class, zone: r.IntN(s.Zones), router: r.IntN(s.Routers), ownTokens: max(1, int(c.Prompt.draw(r))), events: max(1, int(c.Events.draw(r)+0.5))}
	for i, source := range sources {
		variant := source.draw(r)
		if r.Float64() < hot {
			variant = 0
		}
		a.parts = append(a.parts, prefixPart{key: uint64(class)<<40 | uint64(i)<<32 | uint64(variant), tokens: source.tokens[variant]})
	}
	a.router = a.router/s.Zones*s.Zones + a.zone // router i is in zone i mod Zones
	if a.router >= s.Routers {
		a.router = a.zone
	}
	a.relativeSize = float64(a.promptTokens() + outputTokenWeight*a.events*s.Engine.TokensPerEvent)
	return a
}

// How the value of a request depends on its size, as the users' rules say.
const (
	outputTokenWeight = 10
	sizeFixed         = 0.3 // the part that does not
	maxSize           = 4
)

// maxRate is the largest rate that a class may have in a day.
func (s *Spec) maxRate(c *Class) float64 {
	rate := c.Rate * (1 + s.RateSwing)
	for _, f := range s.Faults {
		if f.Kind == FaultBurst && f.Class == c.Name {
			rate *= max(1, f.Factor)
		}
	}
	return rate
}

// rateAt is a class's rate at a time, and the fraction of its requests that have the first variants of the shared parts.
func (s *Spec) rateAt(c *Class, at time.Duration) (rate, hot float64) {
	rate = c.Rate
	if s.RateSwing > 0 {
		rate *= 1 + s.RateSwing*math.Sin(2*math.Pi*float64(at)/float64(s.SwingPeriod))
	}
	for _, f := range s.Faults {
		if f.Class != c.Name || at < f.Start || at >= f.Start+f.Duration {
			continue
		}
		switch f.Kind {
		case FaultBurst:
			rate *= f.Factor
		case FaultHot:
			hot = f.Fraction
		}
	}
	return rate, hot
}
