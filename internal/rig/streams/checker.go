package streams

import "fmt"

// Checker follows one stream as its client sees it, over all its attempts. Create it with its fields; the others are zero.
type Checker struct {
	Subject     string
	Total       int  // events of the stream
	MayContinue bool // another run may go on after the last event
	last        Event
}

// Last returns the number of the last event; 0: there was none.
func (c *Checker) Last() int { return c.last.Number }

// Observe checks the next event.
func (c *Checker) Observe(e Event) error {
	switch {
	case e.Subject != c.Subject:
		return c.failure("another stream's event", e)
	case e.Number <= c.last.Number:
		return c.failure("an event twice, or a number that went back", e)
	case e.Number > c.last.Number+1:
		return c.failure("a missing event", e)
	case c.last.Number > 0 && e.Run != c.last.Run && !c.MayContinue:
		return c.failure("two runs of a stream that may not be continued", e)
	case c.last.Number > 0 && e.Run != c.last.Run && e.After != c.last.Number:
		return c.failure("two runs that do not continue each other", e)
	}
	c.last = e
	return nil
}

// End checks that a stream which looks complete is.
func (c *Checker) End() error {
	if c.last.Number != c.Total {
		return c.failure("a complete end", c.last)
	}
	return nil
}

func (c *Checker) failure(what string, e Event) error {
	return fmt.Errorf("stream %s of %d events: %s: run %s after %d, event %d; the last one was event %d of run %s after %d", c.Subject, c.Total, what,
		e.Run, e.After, e.Number, c.last.Number, c.last.Run, c.last.After)
}
