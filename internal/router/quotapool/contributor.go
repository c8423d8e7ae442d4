// Package quotapool keeps the pools of quota that routers share while they have no contact with the primary: which core
// member hosts a router's deposit, when it is given up, and whose deposits a host asks for.
//
// A router offers its deposit to a core member, the host, which asks for it again and again; the router answers each
// time with what it may spend, and spends nothing itself meanwhile. When it has contact with a primary again it answers
// with an empty deposit. How a pool is spent is decided by quota.Pool.
//
// The package is pure: the caller passes the view and the time, sends the messages, and holds one lock around every
// call.
package quotapool

import (
	"time"

	"petrelhook/internal/router/proximity"
	"petrelhook/internal/router/replication"
)

const (
	// OfferInterval is the time between two offers of a deposit that the host has not asked for.
	OfferInterval = 100 * time.Millisecond
	// CollectTimeout is how long a host may take to ask for a deposit after the first offer, before another one is chosen.
	CollectTimeout = 300 * time.Millisecond
	// hostRetryDelay is how long a host that did not answer is avoided.
	hostRetryDelay = 2 * time.Second
	// collectionValidity is how long after a host's question for a deposit its pool may be spent of: a host asks each
	// CollectInterval, so one that has not asked for longer is gone.
	collectionValidity = 500 * time.Millisecond
)

// Contributor is a router's part in the pool of its host. Make it by NewContributor.
type Contributor struct {
	locality proximity.Locality

	host          string // internal address; "" before the first offer
	hostSince     time.Duration
	offered       bool // lastOffer counts
	lastOffer     time.Duration
	lastCollected time.Duration // when the host last asked for the deposit
	avoidedBefore map[string]time.Duration
}

// NewContributor returns one that has no host yet.
func NewContributor(locality proximity.Locality) *Contributor {
	return &Contributor{locality: locality, lastCollected: -collectionValidity, avoidedBefore: map[string]time.Duration{}}
}

// Host returns the internal address of the host, or "".
func (c *Contributor) Host() string { return c.host }

// Active reports whether the host has the router's deposit and requests may spend of its pool.
func (c *Contributor) Active(now time.Duration) bool {
	return c.host != "" && c.collectedLately(now)
}

func (c *Contributor) collectedLately(now time.Duration) bool {
	return now-c.lastCollected < collectionValidity
}

// Offer decides whether a deposit is to be offered now, and to which host. It chooses another host where the one there
// did not ask for the deposit in time, but not before depositEnd: until then the last host may still spend of the last
// deposit. The primary, which does not answer, is not chosen unless there is no other member.
func (c *Contributor) Offer(members []replication.Member, primary string, depositEnd, now time.Duration) (host string, ok bool) {
	if c.collectedLately(now) || c.offered && now-c.lastOffer < OfferInterval {
		return "", false
	}
	if now-c.lastOffer >= CollectTimeout { // the first offer of a new time without the primary
		c.hostSince = now
	}
	c.offered, c.lastOffer = true, now
	if now >= depositEnd {
		c.reviewHost(members, primary, now)
	}
	return c.host, c.host != ""
}

func (c *Contributor) reviewHost(members []replication.Member, primary string, now time.Duration) {
	if c.host != "" && now-c.hostSince > CollectTimeout {
		c.avoidedBefore[c.host] = now + hostRetryDelay
	}
	if best := c.ChooseHost(members, primary, now); best != c.host {
		c.host, c.hostSince = best, now
	}
}

// ChooseHost returns the member that all routers of the zone choose.
func (c *Contributor) ChooseHost(members []replication.Member, primary string, now time.Duration) string {
	return c.locality.Nearest(members, c.locality.Zone, func(address string) bool {
		return address == primary || c.Avoids(address, now)
	})
}

// Avoids reports whether a member did not answer as a host lately.
func (c *Contributor) Avoids(address string, now time.Duration) bool {
	return now < c.avoidedBefore[address]
}

// RecordCollection records that the host asked for the deposit.
func (c *Contributor) RecordCollection(now time.Duration) { c.lastCollected = now }

// HostTimedOut records that a host did not answer a request in time: its pool is not spent of before it asks for a
// deposit again.
func (c *Contributor) HostTimedOut(host string, now time.Duration) {
	c.avoidedBefore[host] = now + hostRetryDelay
	c.lastCollected = -collectionValidity
}
