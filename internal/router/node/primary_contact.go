package node

import "time"

const (
	// acquireTimeout bounds how long a client's request waits for the primary before its router's pool or lease decides.
	acquireTimeout = 60 * time.Millisecond
	// primaryRetryDelay is how long a primary that did not answer is not asked for units.
	primaryRetryDelay = 250 * time.Millisecond
	// primaryTimeout is how long a router may go without an answer to its requests for shares before it has lost
	// contact with the primary. It is more than one quotaInterval.
	primaryTimeout = 800 * time.Millisecond
)

// primaryContact decides whether a router has contact with the primary that divides limits, and which client requests
// may wait for it. It is pure; times are on the node's clock.
type primaryContact struct {
	lastAnswer   time.Duration // of the primary
	avoidedUntil time.Duration // the primary did not answer in time; 0 once it did
}

// lost reports whether the primary has not answered a request in time, or any for long.
func (c *primaryContact) lost(now time.Duration) bool {
	return c.avoided(now) || now-c.lastAnswer > primaryTimeout
}

// avoided reports whether client requests do not wait for the primary now.
func (c *primaryContact) avoided(now time.Duration) bool { return now < c.avoidedUntil }

// requestSent records that a client request waits for the primary. Where the one before had no answer, no other waits
// until this one has its own, or its time-out.
func (c *primaryContact) requestSent(now time.Duration) {
	if c.avoidedUntil > 0 {
		c.avoidedUntil = now + acquireTimeout
	}
}

// requestTimedOut records that the primary did not answer a client request in time.
func (c *primaryContact) requestTimedOut(now time.Duration) { c.avoidedUntil = now + primaryRetryDelay }

// requestAnswered records the answer to a client request.
func (c *primaryContact) requestAnswered(now time.Duration) { c.lastAnswer, c.avoidedUntil = now, 0 }

// sharesGranted records the answer to a request for shares. It says nothing of how fast the primary answers client
// requests.
func (c *primaryContact) sharesGranted(now time.Duration) { c.lastAnswer = now }

// viewChanged records that there may be another primary, which is asked at once.
func (c *primaryContact) viewChanged() { c.avoidedUntil = 0 }
