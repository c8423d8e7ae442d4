// Package progress decides whether a peer that sends or receives a long message makes progress, that is, transfers a minimum
// number of bytes in every interval. It has no side effects; the code that reads or writes asks how long it may wait.
package progress

import "time"

// Deadline is the moving deadline of one transfer. It expires Interval after Start, or after the peer last completed MinBytes. A
// peer that transfers at least MinBytes in every Interval never times out. It is not safe for concurrent use.
type Deadline struct {
	MinBytes int64
	Interval time.Duration

	intervalStart time.Time // when MinBytes were last completed
	bytes         int64     // transferred since intervalStart
}

// Start begins an interval.
func (d *Deadline) Start(now time.Time) { d.intervalStart, d.bytes = now, 0 }

// Progressed records that n bytes were transferred. Once MinBytes are complete it begins the next interval.
func (d *Deadline) Progressed(n int, now time.Time) {
	if d.bytes += int64(n); d.bytes >= d.MinBytes {
		d.Start(now)
	}
}

// Expires returns the time by which MinBytes have to be transferred.
func (d *Deadline) Expires() time.Time { return d.intervalStart.Add(d.Interval) }
