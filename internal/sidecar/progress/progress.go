// Package progress judges whether a peer that sends or takes a long message moves: so many bytes in every stretch of time. It is
// pure; whoever does the reading or writing asks until when he may wait.
package progress

import "time"

// Deadline is what a peer owes and what it has done. A peer that does not move is ended after Within, one that moves faster than
// Least bytes in that time never is.
type Deadline struct {
	Least  int64
	Within time.Duration

	mark  time.Time // when it last had moved by Least
	since int64     // bytes since then
}

// Start begins at a moment.
func (p *Deadline) Start(now time.Time) { p.mark, p.since = now, 0 }

// Moved takes in bytes.
func (p *Deadline) Moved(n int, now time.Time) {
	if p.since += int64(n); p.since >= p.Least {
		p.Start(now)
	}
}

// Due is when it must have moved by Least.
func (p *Deadline) Due() time.Time { return p.mark.Add(p.Within) }
