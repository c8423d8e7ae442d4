package scenario

import "time"

// SlowStart is how a server starts: with a fraction of its capacity, which grows linearly to all of it within Duration. The statements
// of a file call it cold and warm.
type SlowStart struct {
	Fraction float64
	Duration time.Duration
}

// Capacity is the fraction of its capacity that a server has at an age. The zero SlowStart has all of it from the start.
func (c SlowStart) Capacity(age time.Duration) float64 {
	if c.Duration <= 0 || age >= c.Duration {
		return 1
	}
	return c.Fraction + (1-c.Fraction)*float64(max(age, 0))/float64(c.Duration)
}

// overloadSlack allows for chance: the cost of a request is drawn, and sidecars do not know it.
const overloadSlack = 1.1

// Pressure is the work that a server in its slow start was sent within the last OverloadTime, in proportion to what it survives:
// OverloadMultiple times its present capacity over that time. All work that arrives counts, also rejected work. It is not safe for
// concurrent use.
type Pressure struct {
	rules     Rules
	capacity  float64 // core seconds a second after the slow start
	slowStart SlowStart
	arrivals  []arrivedWork
	sum       time.Duration
}

// arrivedWork is the work of one request, at the server's age when it arrived.
type arrivedWork struct {
	age  time.Duration
	work time.Duration
}

// NewPressure is the pressure on a server that has just started. Its capacity is cores times speed.
func NewPressure(rules Rules, s Server, slowStart SlowStart) *Pressure {
	return &Pressure{rules: rules, capacity: float64(s.Cores) * s.Speed, slowStart: slowStart}
}

// Add adds work that arrives at an age, which must not decrease, and returns the sum within the window as a fraction of what the
// server survives: above 1 it crashes. After its slow start a server survives any load.
func (p *Pressure) Add(age, work time.Duration) float64 {
	if age >= p.slowStart.Duration || p.rules.OverloadMultiple <= 0 {
		return 0
	}
	p.arrivals = append(p.arrivals, arrivedWork{age, work})
	p.sum += work
	for p.arrivals[0].age <= age-p.rules.OverloadTime {
		p.sum -= p.arrivals[0].work
		p.arrivals = p.arrivals[1:]
	}
	bears := overloadSlack * p.rules.OverloadMultiple * p.slowStart.Capacity(age) * p.capacity * float64(p.rules.OverloadTime)
	return float64(p.sum) / bears
}
