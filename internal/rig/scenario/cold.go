package scenario

import "time"

// Cold is how a server starts: with part From of its capacity, which grows evenly to the whole within Warm.
type Cold struct {
	From float64
	Warm time.Duration
}

// Capacity is the part of its capacity that a server has at an age. The zero Cold is warm from the start.
func (c Cold) Capacity(age time.Duration) float64 {
	if c.Warm <= 0 || age >= c.Warm {
		return 1
	}
	return c.From + (1-c.From)*float64(max(age, 0))/float64(c.Warm)
}

// fallSlack is for chance: what a request costs is drawn, and no sidecar is told.
const fallSlack = 1.1

// Pressure is the work that a cold server was sent within the last fall time, against what it bears: the fall multiple
// of its present capacity over that time. All work that arrives counts, also what is turned away.
type Pressure struct {
	rules    Rules
	capacity float64 // core seconds a second when warm
	cold     Cold
	arrivals []arrival
	sum      time.Duration
}

type arrival struct {
	at   time.Duration
	work time.Duration
}

// NewPressure begins the account of a server that has just started: cores times speed is its capacity when warm.
func NewPressure(rules Rules, s Server, cold Cold) *Pressure {
	return &Pressure{rules: rules, capacity: float64(s.Cores) * s.Speed, cold: cold}
}

// Add books work that arrives at an age, which never goes back, and gives the sum within the window as a part of what
// the server bears: over 1 it falls over. A warm server bears anything.
func (p *Pressure) Add(age, work time.Duration) float64 {
	if age >= p.cold.Warm || p.rules.FallMultiple <= 0 {
		return 0
	}
	p.arrivals = append(p.arrivals, arrival{age, work})
	p.sum += work
	for p.arrivals[0].at <= age-p.rules.FallTime {
		p.sum -= p.arrivals[0].work
		p.arrivals = p.arrivals[1:]
	}
	bears := fallSlack * p.rules.FallMultiple * p.cold.Capacity(age) * p.capacity * float64(p.rules.FallTime)
	return float64(p.sum) / bears
}
