package engines

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ClassScore is what became of the requests of a class.
type ClassScore struct {
	Asked, InTime, LateFirst, LatePause, Lost float64
	Owed, Earned                              float64
	Tenth                                     float64 // of the worth of the largest tenth, what was earned
	First                                     *hdrhistogram.Histogram

	largeOwed, largeEarned float64
}

// Late is the share of requests that were served late.
func (c *ClassScore) Late() float64 { return (c.LateFirst + c.LatePause) / max(1, c.Asked) }

// score is what came of one play.
type score struct {
	spec     *Spec
	classes  []*ClassScore
	arrivals []float64
	crossed  float64 // bytes
	again    float64 // tokens of shared parts that were read again
	moved    float64 // long answers that were taken up elsewhere
	read     float64
	seen     map[uint64]time.Duration // when a part was last used anywhere
	windows  map[int]*window          // by their number
}

func newScore(s *Spec) *score {
	c := &score{spec: s, arrivals: make([]float64, s.Servers), seen: map[uint64]time.Duration{}, windows: map[int]*window{}}
	for range s.Classes {
		c.classes = append(c.classes, &ClassScore{First: hdrhistogram.New(1, 60_000_000, 2)})
	}
	return c
}

func (c *score) counts(q *request) *ClassScore {
	if q.a.at < c.spec.Warm {
		return nil
	}
	k := c.classes[q.a.class]
	k.Asked++
	k.Owed += q.class.Worth * q.a.size
	c.window(q).owed += q.class.Worth * q.a.size
	return k
}

// window is what was earned of the requests of some time.
type window struct{ owed, earned float64 }

const windowLength = 2 * time.Second

func (c *score) window(q *request) *window {
	n := int(q.a.at / windowLength)
	if c.windows[n] == nil {
		c.windows[n] = &window{}
	}
	return c.windows[n]
}

// worstWindows is the mean of the two worst.
func (c *score) worstWindows() float64 {
	var shares []float64
	for _, w := range c.windows {
		shares = append(shares, w.earned/w.owed)
	}
	slices.Sort(shares)
	return (shares[0] + shares[min(1, len(shares)-1)]) / 2
}

// The weights of the whole day, the worst windows and the worst class in the users' goal.
const (
	dayWeight    = 0.75
	windowWeight = 0.15
	classWeight  = 0.1
)

// served notes a request whose whole answer came before its deadline.
func (c *score) served(q *request) {
	k := c.counts(q)
	if k == nil {
		return
	}
	k.First.RecordValue((q.first - q.a.at).Microseconds())
	worth := q.class.Worth
	switch {
	case q.first-q.a.at > q.class.Aim:
		k.LateFirst++
		worth = q.class.Late
	case q.pause > q.class.Pause:
		k.LatePause++
		worth = q.class.Late
	default:
		k.InTime++
	}
	c.earn(k, q, worth)
}

func (c *score) lost(q *request) {
	if k := c.counts(q); k != nil {
		k.Lost++
		c.earn(k, q, 0)
	}
}

// largeSize is the size, beside the mean, from which a request counts among the large ones that are scored by themselves.
const largeSize = 1.9

func (c *score) earn(k *ClassScore, q *request, worth float64) {
	k.Earned += worth * q.a.size
	c.window(q).earned += worth * q.a.size
	if q.a.size >= largeSize {
		k.largeOwed += q.class.Worth * q.a.size
		k.largeEarned += worth * q.a.size
	}
}

// reread notes the parts of a prompt that a server has to read though some server had them lately.
func (c *score) reread(s *server, a *arrival, now time.Duration) {
	kept := s.keeps(a)
	for _, p := range a.parts {
		if at, ok := c.seen[p.key]; kept <= 0 && ok && now-at < c.spec.Again && a.at >= c.spec.Warm {
			c.again += float64(p.tokens)
		}
		kept -= p.tokens
		c.seen[p.key] = now
	}
}

func (c *score) finish(f *fleet) {
	for _, s := range f.servers {
		c.read += s.readAll
	}
	for _, k := range c.classes {
		k.Tenth = k.largeEarned / max(k.largeOwed, 1e-9)
	}
}

// figures are what an experiment compares, by name.
func (c *score) figures() map[string]float64 {
	owed, earned, most, sum, worst := 0.0, 0.0, 0.0, 0.0, 1.0
	figures := map[string]float64{}
	for i, k := range c.classes {
		owed += k.Owed
		earned += k.Earned
		worst = min(worst, k.Earned/max(k.Owed, 1e-9))
		if k.largeOwed > 0 {
			worst = min(worst, k.Tenth)
		}
		name := c.spec.Classes[i].Name + " "
		figures[name+"late first %"] = 100 * k.LateFirst / max(1, k.Asked)
		figures[name+"late pause %"] = 100 * k.LatePause / max(1, k.Asked)
		figures[name+"lost %"] = 100 * k.Lost / max(1, k.Asked)
		figures[name+"worth"] = k.Earned / max(k.Owed, 1e-9)
		figures[name+"large"] = k.Tenth
		figures[name+"p99 ms"] = float64(k.First.ValueAtQuantile(99)) / 1000
	}
	for _, n := range c.arrivals {
		most, sum = max(most, n), sum+n
	}
	price := (c.spec.Prices.CrossGB*c.crossed/1e9 + c.spec.Prices.ReadK*c.again/1000) / max(owed, 1e-9)
	figures["worth"] = earned / max(owed, 1e-9)
	figures["price"] = price
	figures["windows"] = c.worstWindows()
	figures["goal"] = dayWeight*earned/max(owed, 1e-9) + windowWeight*c.worstWindows() + classWeight*worst - price
	figures["read M"] = c.read / 1e6
	figures["again M"] = c.again / 1e6
	figures["cross GB"] = c.crossed / 1e9
	figures["busiest/mean"] = most / max(1e-9, sum/float64(len(c.arrivals)))
	figures["moved"] = c.moved
	return figures
}
