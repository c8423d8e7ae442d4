package node

import "time"

const (
	// acquireTimeout bounds how long a client request waits for the primary. After that the pool or the lease of its
	// router decides.
	acquireTimeout = 60 * time.Millisecond
	// primaryRetryDelay is how long no units are requested from a primary that did not answer in time.
	primaryRetryDelay = 250 * time.Millisecond
	// primaryTimeout is the time without an answer to requests for shares after which a router has lost contact with the
	// primary. It is longer than quotaInterval.
	primaryTimeout = 800 * time.Millisecond
)

// primaryContact decides whether a router has contact with the primary, which allocates quota, and which client requests
// may wait for the primary. It is pure; its times are on the node's clock.
type primaryContact struct {
	lastAnswer   time.Duration // time of the primary's last answer
	avoidedUntil time.Duration // set when the primary does not answer in time; 0 once it answers
}

// lost reports whether the primary did not answer a client request in time, or has answered nothing for primaryTimeout.
func (c *primaryContact) lost(now time.Duration) bool {
	return c.avoided(now) || now-c.lastAnswer > primaryTimeout
}

// avoided reports whether client requests must not wait for the primary now.
func (c *primaryContact) avoided(now time.Duration) bool { return now < c.avoidedUntil }

// requestSent records that a client request waits for the primary. If the previous one had no answer, no other request
// waits for the primary until this one is answered or times out.
func (c *primaryContact) requestSent(now time.Duration) {
	if c.avoidedUntil > 0 {
		c.avoidedUntil = now + acquireTimeout
	}
}

// requestTimedOut records that the primary did not answer a client request in time.
func (c *primaryContact) requestTimedOut(now time.Duration) { c.avoidedUntil = now + primaryRetryDelay }

// requestAnswered records the answer to a client request.
func (c *primaryContact) requestAnswered(now time.Duration) { c.lastAnswer, c.avoidedUntil = now, 0 }

// sharesGranted records the answer to a request for shares. It does not end avoidance, because it does not show how fast
// the primary answers client requests.
func (c *primaryContact) sharesGranted(now time.Duration) { c.lastAnswer = now }

// viewChanged records that the primary may have changed. Client requests may wait for the new one at once.
func (c *primaryContact) viewChanged() { c.avoidedUntil = 0 }
