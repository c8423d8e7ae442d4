package judge

import "math"

// Counts say of how many of some requests something was true. Both are fractions where requests were weighted.
type Counts struct{ Hits, Total float64 }

func (c Counts) dividedBy(n float64) Counts { return Counts{c.Hits / n, c.Total / n} }
func (c Counts) plus(other Counts) Counts   { return Counts{c.Hits + other.Hits, c.Total + other.Total} }
func (c Counts) rate() float64              { return c.Hits / max(c.Total, 1e-300) }

// likelihood returns the logarithm of the likelihood of the counts if the rate is p.
func (c Counts) likelihood(p float64) float64 {
	return xlog(c.Hits, p) + xlog(c.Total-c.Hits, 1-p)
}

// xlog returns x log p, and 0 for x = 0 whatever p is.
func xlog(x, p float64) float64 {
	if x == 0 {
		return 0
	}
	return x * math.Log(p)
}
