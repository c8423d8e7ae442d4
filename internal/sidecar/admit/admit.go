package admit

import (
	"container/list"
	"math"
	"time"
)

// Config is what the deployment says.
type Config struct {
	Places int // connections at once
	// Horizon is for how long ahead a place is judged: as long as clients wait.
	Horizon time.Duration
}

// again is the chance that a connection asks again soon under which its next answer ends it when all places are taken: as
// likely as not. Where fewer places are taken it is as much less.
const again = 0.5

// Conn is one connection as the limiter knows it. Its zero value is one that never came.
type Conn struct {
	Owner any // whatever the caller knows it by; not looked at

	state    state
	at       *list.Element
	asked    bool          // at all, also for what has no answer of worth
	answered int           // requests
	since    time.Time     // its last answer, or when it came
	seen     time.Duration // how much of the time since then was taken in
}

// state is where a connection is.
type state uint8

const (
	out     state = iota // no place
	silent               // no request open
	busy                 // a request open
	leaving              // had its last answer; its last bytes are on their way
)

// Figures count what a limiter did and holds.
type Figures struct {
	Busy, Leaving int
	Silent        [histories]int // by history: never asked, once, seldom, regularly

	Came, TurnedAway uint64
	MadeRoom         [histories]uint64 // silent ones that were given up for others, by history
	LeftEarly        uint64            // leaving ones that were closed for others
}

// Door decides. It is not safe for concurrent use; times must not go back.
type Door struct {
	Config
	rates   rates
	held    int
	silent  [histories]list.List // of *Conn, the longest silent first
	busy    list.List
	leaving list.List
	figures Figures
}

// New makes a limiter without connections.
func New(c Config, now time.Time) *Door {
	d := &Door{Config: c}
	d.rates.faded = now
	return d
}

// Come is a connection that comes. It has a place unless all are taken and none can be given up for it; who makes room is
// told by victim, which is nil where there was a place, and which the caller closes: it has none any more. quiet looks
// whether nothing has come from a connection that was not read yet; only who is quiet is given up.
func (d *Door) Come(c *Conn, now time.Time, quiet func(*Conn) bool) (victim *Conn, taken bool) {
	d.learn(now)
	d.figures.Came++
	if d.held >= d.Places {
		if victim = d.victim(now, quiet); victim == nil {
			d.figures.TurnedAway++
			return nil, false
		}
		d.remove(victim, now)
	}
	d.held++
	d.put(c, silent, now)
	return victim, true
}

// FirstCall is how long a connection is waited for that has never asked. Its client's first request may be on its way, and
// on a new connection not every client sends again what crossed with a close.
const FirstCall = 200 * time.Millisecond

// victim is the connection whose place is worth the least. One that was answered more than once makes room only if what is
// expected of it within the horizon is less than the one request of who comes: what is known of it is its own.
func (d *Door) victim(now time.Time, quiet func(*Conn) bool) *Conn {
	if e := d.leaving.Front(); e != nil {
		d.figures.LeftEarly++
		return e.Value.(*Conn)
	}
	worth := d.worth()
	most := d.rates.soon(never, 0, d.Horizon)
	var tried [histories]*list.Element
	for h := range d.silent {
		tried[h] = d.silent[h].Front()
	}
	for {
		least, from := math.Inf(1), histories
		for h := range histories {
			if tried[h] == nil {
				continue
			}
			c := tried[h].Value.(*Conn)
			silent := now.Sub(c.since)
			if !c.asked && silent < FirstCall {
				continue
			}
			v := d.rates.soon(h, silent, d.Horizon) * worth[h]
			if v < least && (h <= once || v < most) {
				least, from = v, h
			}
		}
		if from == histories {
			return nil
		}
		c := tried[from].Value.(*Conn)
		if quiet(c) {
			d.figures.MadeRoom[from]++
			return c
		}
		tried[from] = tried[from].Next() // a request of its is on its way in
	}
}

// worth is what a request that is answered brings, by the history of its connection: itself, and what is expected to follow
// it on the same connection within the horizon.
func (d *Door) worth() (all [histories]float64) {
	all[regular] = 1 + d.rates.mean(regular)*d.Horizon.Seconds()
	for h := regular; h > never; h-- {
		all[h-1] = 1 + d.rates.soon(h, 0, d.Horizon)*all[h]
	}
	return all
}

// Asks is the first byte of a request on a connection.
func (d *Door) Asks(c *Conn, now time.Time) {
	if c.state == silent {
		c.asked = true
		d.take(c)
		d.put(c, busy, now)
	}
}

// Answers is a request of a client that is whole and is answered now, whatever the answer. It reports whether the answer
// should end the connection, for it will hardly be used again while places are scarce: one that is ended also gives its
// client a descriptor back, whose bound is not known here.
func (d *Door) Answers(c *Conn, now time.Time) (end bool) {
	d.learn(now)
	if c.state != busy {
		return false
	}
	d.saw(c, now)
	d.rates.answered(historyOf(c.answered), now.Sub(c.since))
	c.answered++
	c.since, c.seen = now, 0
	return d.rates.soon(historyOf(c.answered), 0, d.Horizon) < again*float64(d.held)/float64(d.Places)
}

// learn takes in, now and then, how long those that hold a place have had no answer.
func (d *Door) learn(now time.Time) {
	if !d.rates.fade(now) || d.held < d.Places/scarce {
		return
	}
	for h := range d.silent {
		for e := d.silent[h].Front(); e != nil; e = e.Next() {
			d.saw(e.Value.(*Conn), now)
		}
	}
	for e := d.busy.Front(); e != nil; e = e.Next() {
		d.saw(e.Value.(*Conn), now)
	}
}

// scarce is the part of the places that must be taken for silences to be followed while they last: nobody asks before.
const scarce = 4

// saw takes in what is new of the time since its last answer.
func (d *Door) saw(c *Conn, now time.Time) {
	silent := now.Sub(c.since)
	d.rates.saw(historyOf(c.answered), c.seen, silent)
	c.seen = silent
}

// Answered is the end of the answer to it; the connection stays open.
func (d *Door) Answered(c *Conn, now time.Time) {
	if c.state == busy {
		d.take(c)
		d.put(c, silent, now)
	}
}

// Leaves is a connection that has had its last answer and is closed soon.
func (d *Door) Leaves(c *Conn, now time.Time) {
	if c.state == silent || c.state == busy {
		d.take(c)
		d.put(c, leaving, now)
	}
}

// Held is how many places are taken.
func (d *Door) Held() int { return d.held }

// Idlers gives those that have been silent for a time, so that a sidecar that ends need not wait for them; for one that never
// asked it is FirstCall at least. They keep their places until they are Gone.
func (d *Door) Idlers(now time.Time, silent time.Duration) (all []*Conn) {
	for h := range d.silent {
		for e := d.silent[h].Front(); e != nil; e = e.Next() {
			c := e.Value.(*Conn)
			least := silent
			if !c.asked {
				least = max(silent, FirstCall)
			}
			if now.Sub(c.since) < least {
				break
			}
			all = append(all, c)
		}
	}
	return all
}

// Gone is a connection that has been closed, by whichever side.
func (d *Door) Gone(c *Conn, now time.Time) {
	if c.state != out {
		d.remove(c, now)
	}
}

// Figures are what the limiter did and holds.
func (d *Door) Figures() Figures {
	f := d.figures
	f.Leaving = d.leaving.Len()
	f.Busy = d.held - f.Leaving
	for h := range d.silent {
		f.Silent[h] = d.silent[h].Len()
		f.Busy -= f.Silent[h]
	}
	return f
}

// remove takes a connection's place away.
func (d *Door) remove(c *Conn, now time.Time) {
	if c.state != leaving { // it might have had an answer later: nothing is known but that it had none until now
		d.saw(c, now)
	}
	d.take(c)
	d.held--
}

// take takes a connection out of its list.
func (d *Door) take(c *Conn) {
	switch c.state {
	case silent:
		d.silent[historyOf(c.answered)].Remove(c.at)
	case busy:
		d.busy.Remove(c.at)
	case leaving:
		d.leaving.Remove(c.at)
	}
	c.state, c.at = out, nil
}

// put files a connection under a state.
func (d *Door) put(c *Conn, s state, now time.Time) {
	c.state = s
	switch s {
	case silent:
		c.since, c.seen = now, 0
		c.at = d.silent[historyOf(c.answered)].PushBack(c)
	case busy:
		c.at = d.busy.PushBack(c)
	case leaving:
		c.at = d.leaving.PushBack(c)
	}
}
