package engines

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// sharedPart is one part of a prompt: which thing of which part of which class, and its tokens.
type sharedPart struct {
	key    uint64
	tokens int
}

// arrival is one request as its client sends it.
type arrival struct {
	at     time.Duration
	class  int
	zone   int
	router int
	parts  []sharedPart // shared ones
	own    int          // tokens of the prompt that nobody shares
	events int
	size   float64 // beside its class's mean
}

func (a *arrival) shared() (tokens int) {
	for _, p := range a.parts {
		tokens += p.tokens
	}
	return tokens
}

func (a *arrival) prompt() int { return a.shared() + a.own }

// draw draws a size.
func (d Draw) draw(r *rand.Rand) float64 {
	if d.Spread == 0 {
		return d.Mean
	}
	sigma := math.Sqrt(math.Log(1 + d.Spread*d.Spread))
	v := d.Mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
	if d.Most > 0 {
		v = min(v, d.Most)
	}
	return v
}

// chooser draws things by their rank.
type chooser struct{ sums []float64 }

func newChooser(p Part) chooser {
	sums, sum := make([]float64, p.Things), 0.0
	for i := range sums {
		sum += math.Pow(float64(i+1), -p.Skew)
		sums[i] = sum
	}
	return chooser{sums}
}

func (c chooser) draw(r *rand.Rand) int {
	x := r.Float64() * c.sums[len(c.sums)-1]
	return min(sort.SearchFloat64s(c.sums, x), len(c.sums)-1)
}

// arrivals draws a day's requests.
func arrivals(s *Spec, seed uint64) []arrival {
	var all []arrival
	for i := range s.Classes {
		all = append(all, classArrivals(s, i, rand.New(rand.NewPCG(seed, uint64(i))))...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

func classArrivals(s *Spec, class int, r *rand.Rand) []arrival {
	c := &s.Classes[class]
	choosers, tokens := make([]chooser, len(c.Shared)), make([][]int, len(c.Shared))
	for i, part := range c.Shared {
		choosers[i] = newChooser(part)
		tokens[i] = make([]int, part.Things)
		for j := range tokens[i] {
			tokens[i][j] = max(1, int(part.Tokens.draw(r)))
		}
	}
	most := c.Rate * (1 + s.Swing)
	for _, f := range s.Faults {
		if f.Kind == FaultBurst && f.Class == c.Name {
			most *= max(1, f.Factor)
		}
	}
	var all []arrival
	total := 0.0
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / most * float64(time.Second))
		if at >= s.Length {
			break
		}
		rate, hot := s.rateAt(c, at)
		if r.Float64()*most > rate {
			continue
		}
		a := arrival{at: at, class: class, zone: r.IntN(s.Zones), router: r.IntN(s.Routers), own: max(1, int(c.Prompt.draw(r))), events: max(1, int(c.Events.draw(r)+0.5))}
		for i := range c.Shared {
			thing := choosers[i].draw(r)
			if r.Float64() < hot {
				thing = 0
			}
			a.parts = append(a.parts, sharedPart{key: uint64(class)<<40 | uint64(i)<<32 | uint64(thing), tokens: tokens[i][thing]})
		}
		a.router = a.router/s.Zones*s.Zones + a.zone // routers stand in the zones by turns
		if a.router >= s.Routers {
			a.router = a.zone
		}
		a.size = float64(a.prompt() + tokensOutWeight*a.events*s.Engine.Stride)
		total += a.size
		all = append(all, a)
	}
	for i := range all {
		all[i].size = min(maxWorth, sizeFixed+(1-sizeFixed)*all[i].size/(total/float64(len(all))))
	}
	return all
}

// How the worth of a request goes by its size, as the users' rules say.
const (
	tokensOutWeight = 10
	sizeFixed       = 0.3
	maxWorth        = 4
)

// rateAt is a class's rate at a time, and the part of its requests that ask for one thing.
func (s *Spec) rateAt(c *Class, at time.Duration) (rate, hot float64) {
	rate = c.Rate
	if s.Swing > 0 {
		rate *= 1 + s.Swing*math.Sin(2*math.Pi*float64(at)/float64(s.Period))
	}
	for _, f := range s.Faults {
		if f.Class != c.Name || at < f.At || at >= f.At+f.For {
			continue
		}
		switch f.Kind {
		case FaultBurst:
			rate *= f.Factor
		case FaultHot:
			hot = f.Share
		}
	}
	return rate, hot
}
