package admit

import (
	"math"
	"math/bits"
	"time"
)

// history is how often a connection has asked.
type history uint8

// The histories: they differ in what is to be expected of a connection.
const (
	never   history = iota
	once            // a client that opens one for each request never comes back
	seldom          // up to often times
	regular         // a connection that is kept for its use
	histories
)

// often is how many requests make a connection a regular's.
const often = 4

func historyOf(asked int) history {
	switch {
	case asked >= often:
		return regular
	case asked >= 2:
		return seldom
	}
	return history(asked)
}

// Silence is told in cells that double: up to 2 ms, 4 ms, 8 ms, ... Nothing is known of the course within one.
const (
	firstCell = 2 * time.Millisecond
	cells     = 16 // the last begins after 32 s
)

// cellOf is the cell of a silence.
func cellOf(silent time.Duration) int {
	return min(bits.Len64(uint64(max(0, silent)/firstCell)), cells-1)
}

// begins is where a cell begins, and ends where the next does.
func begins(cell int) time.Duration {
	if cell == 0 {
		return 0
	}
	return firstCell << (cell - 1)
}

func ends(cell int) time.Duration { return firstCell << cell }

// fading is the time in which the weight of what was seen falls to 1/e: some of the longest silences after which clients
// still ask, and short beside the minutes for which a client's ways last.
const fading = 20 * time.Second

// rates is what was seen of the times from one answer to the next: for each history and cell, how many ended in it, and
// for how long all of them together stood in it. The quotient is the rate at which connections get answers. Answers count
// rather than requests: who asks for what makes no sense, or never sends the whole of it, holds a place all the same.
type rates struct {
	asked, stood [histories][cells]float64 // counts, and seconds
	faded        time.Time
}

// every is how often the past fades and silences that go on are taken in: soon enough for what lasts for seconds.
const every = fading / 64

// fade lets the past count for less, if that is due.
func (r *rates) fade(now time.Time) bool {
	past := now.Sub(r.faded)
	if past < every {
		return false
	}
	keep := math.Exp(-float64(past) / float64(fading))
	for h := range r.asked {
		for c := range r.asked[h] {
			r.asked[h][c] *= keep
			r.stood[h][c] *= keep
		}
	}
	r.faded = now
	return true
}

// saw takes in a part of a silence, of which what came before is known already.
func (r *rates) saw(h history, from, to time.Duration) {
	for c := cellOf(from); from < to; c++ {
		until := to
		if c < cells-1 {
			until = min(to, ends(c))
		}
		r.stood[h][c] += (until - from).Seconds()
		from = until
	}
}

// answered takes in that a silence ended with an answer.
func (r *rates) answered(h history, silent time.Duration) { r.asked[h][cellOf(silent)]++ }

// mean is the rate, a second, at which connections of a history get answers, over all that was seen.
func (r *rates) mean(h history) float64 {
	asked, stood := 0.0, 0.0
	for c := range cells {
		asked += r.asked[h][c]
		stood += r.stood[h][c]
	}
	if stood == 0 {
		return 0
	}
	return asked / stood
}

// expect is the rate, a second, at which a connection of a history asks after a silence. Where nothing was seen it is one
// request in as long as the silence has lasted, which holds for whatever scale clients live on; all cells together weigh
// as much as one connection that was seen.
func (r *rates) expect(h history, silent time.Duration) float64 {
	const weight = 1.0 / cells
	c := cellOf(silent)
	return (weight + r.asked[h][c]) / (weight*max(silent, firstCell).Seconds() + r.stood[h][c])
}

// soon is the chance that a connection of a history that has been silent for so long asks within a time: the rates of the
// cells that it passes through, one after another.
func (r *rates) soon(h history, silent, within time.Duration) float64 {
	left, sum := within, 0.0
	for at := silent; left > 0; {
		step := left
		if c := cellOf(at); c < cells-1 {
			step = min(left, ends(c)-at)
		}
		sum += r.expect(h, at) * step.Seconds()
		left -= step
		at += step
	}
	return -math.Expm1(-sum)
}
