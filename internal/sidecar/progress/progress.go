// Package progress judges whether a peer that sends or receives a long message makes progress: a minimum number of bytes in every
// interval. It is pure; the code that reads or writes asks how long it may wait.
package progress

import "time"

// Deadline is the moving deadline of one transfer. A peer that makes no progress has until Interval after the last; one that
// transfers at least MinBytes in every Interval is never timed out. It is not safe for concurrent use.
type Deadline struct {
	MinBytes int64
	Interval time.Duration

	intervalStart time.Time // when MinBytes were last completed
	bytes         int64     // transferred since then
}

// Start begins an interval.
func (d *Deadline) Start(now time.Time) { d.intervalStart, d.bytes = now, 0 }

// Progressed adds transferred bytes.
func (d *Deadline) Progressed(n int, now time.Time) {
	if d.bytes += int64(n); d.bytes >= d.MinBytes {
		d.Start(now)
	}
}

// Expires returns when MinBytes have to be transferred.
func (d *Deadline) Expires() time.Time { return d.intervalStart.Add(d.Interval) }
