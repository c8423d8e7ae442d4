package judge

import "math"

// Counts has the number of requests that had a property, such as having failed, and the number of all requests. Both may be fractional,
// because requests may be weighted.
type Counts struct{ Hits, Total float64 }

func (c Counts) dividedBy(n float64) Counts { return Counts{c.Hits / n, c.Total / n} }
func (c Counts) plus(other Counts) Counts   { return Counts{c.Hits + other.Hits, c.Total + other.Total} }
func (c Counts) rate() float64              { return c.Hits / max(c.Total, 1e-300) }

// likelihood returns the logarithm of the likelihood of the counts if the rate is p.
func (c Counts) likelihood(p float64) float64 {
	return xlog(c.Hits, p) + xlog(c.Total-c.Hits, 1-p)
}

// xlog returns x log p, or 0 if x is 0, even for p = 0.
func xlog(x, p float64) float64 {
	if x == 0 {
		return 0
	}
	return x * math.Log(p)
}
