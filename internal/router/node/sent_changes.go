package node

import "time"

// sentChanges is how far one kind of numbered changes was sent to a subscriber, and how far it has acknowledged them. Each kind has its
// own, so that changes of one kind do not put off sending a lost one of another kind again.
type sentChanges struct {
	sent         uint64        // number of the last change sent; those after acknowledged may be in flight
	acknowledged uint64        // number up to which the subscriber has received them
	inFlightFrom time.Duration // when the oldest change in flight was sent, or a part of those in flight was acknowledged
	resends      int           // consecutive times that changes were sent again without an acknowledgement
}

// inFlight returns the number of changes that were sent and are not acknowledged.
func (c *sentChanges) inFlight() uint64 { return c.sent - min(c.sent, c.acknowledged) }

// send records that the changes up to a number are sent now.
func (c *sentChanges) send(number uint64, now time.Duration) {
	if c.sent <= c.acknowledged {
		c.inFlightFrom = now
	}
	c.sent = number
}

// acknowledge records up to which number the subscriber has received the changes. If the rest has been in flight for longer than
// timeout, it counts as lost and is to be sent again: sent goes back to the number.
func (c *sentChanges) acknowledge(number uint64, timeout, now time.Duration) {
	switch {
	case number >= c.sent:
		c.restart(number)
	case number > c.acknowledged:
		c.acknowledged, c.inFlightFrom, c.resends = number, now, 0
	case now-c.inFlightFrom > timeout:
		c.sent, c.acknowledged = number, number
		c.resends++
	}
}

// restart records that the subscriber has the changes up to a number and that nothing is in flight.
func (c *sentChanges) restart(number uint64) {
	*c = sentChanges{sent: number, acknowledged: number}
}
