// Package quotapool manages the pools of quota that routers share while they have no contact with the primary. It decides
// which core member hosts a router's deposit, when the router changes to another host, and which deposits a host
// requests.
//
// A router offers its deposit to a core member, the host, which requests the deposit periodically. The router answers
// each request with the shares that it may spend, and does not spend them itself until that deposit expires. Once it has
// contact with a primary again, it answers with an empty deposit. quota.Pool decides how the pool is spent.
//
// The package is pure: the caller passes the view and the time, and sends the messages. It must serialize all calls to a
// Contributor or a Host with one lock.
package quotapool

import (
	"time"

	"petrelhook/internal/router/proximity"
	"petrelhook/internal/router/replication"
)

const (
	// OfferInterval is the time between two offers of a deposit that the host has not requested.
	OfferInterval = 100 * time.Millisecond
	// CollectTimeout is how long a host may take to request a deposit after the first offer before another host is chosen.
	CollectTimeout = 300 * time.Millisecond
	// hostRetryDelay is how long a host that did not answer is avoided.
	hostRetryDelay = 2 * time.Second
	// collectionValidity is how long after a host's request for the deposit the router may use the host's pool. A host
	// sends a request every CollectInterval, so a host without a request for this time is considered failed.
	collectionValidity = 500 * time.Millisecond
)

// Contributor is the state of a router that contributes its deposit to the pool of a host. NewContributor creates it.
type Contributor struct {
	locality proximity.Locality

	host          string // internal address; "": none was chosen yet
	hostSince     time.Duration
	offered       bool // lastOffer is set
	lastOffer     time.Duration
	lastCollected time.Duration            // when the host last requested the deposit
	avoidedUntil  map[string]time.Duration // by internal address of the member
}

// NewContributor returns a Contributor without a host.
func NewContributor(locality proximity.Locality) *Contributor {
	return &Contributor{locality: locality, lastCollected: -collectionValidity, avoidedUntil: map[string]time.Duration{}}
}

// Host returns the internal address of the host, or "" if there is none.
func (c *Contributor) Host() string { return c.host }

// Active reports whether the host has the router's deposit, so that requests may acquire units from its pool.
func (c *Contributor) Active(now time.Duration) bool {
	return c.host != "" && c.collectedRecently(now)
}

func (c *Contributor) collectedRecently(now time.Duration) bool {
	return now-c.lastCollected < collectionValidity
}

// Offer decides whether the deposit is to be offered now, and to which host. If the host did not request the deposit
// within CollectTimeout, Offer chooses another one, but not before depositEnd: until then the previous host may still
// spend the latest deposit. The primary does not answer, and is chosen only if there is no other member. If ok is true,
// the caller sends the offer to host.
func (c *Contributor) Offer(members []replication.Member, primary string, depositEnd, now time.Duration) (host string, ok bool) {
	if c.collectedRecently(now) || c.offered && now-c.lastOffer < OfferInterval {
		return "", false
	}
	if now-c.lastOffer >= CollectTimeout { // the first offer after contact to the primary was lost
		c.hostSince = now
	}
	c.offered, c.lastOffer = true, now
	if now >= depositEnd {
		c.updateHost(members, primary, now)
	}
	return c.host, c.host != ""
}

func (c *Contributor) updateHost(members []replication.Member, primary string, now time.Duration) {
	if c.host != "" && now-c.hostSince > CollectTimeout {
		c.avoidedUntil[c.host] = now + hostRetryDelay
	}
	if best := c.ChooseHost(members, primary, now); best != c.host {
		c.host, c.hostSince = best, now
	}
}

// ChooseHost returns the member to which to offer the deposit. All routers of a zone choose the same member, unless they
// avoid different ones.
func (c *Contributor) ChooseHost(members []replication.Member, primary string, now time.Duration) string {
	return c.locality.Nearest(members, c.locality.Zone, func(address string) bool {
		return address == primary || c.Avoids(address, now)
	})
}

// Avoids reports whether a member is avoided because it recently did not answer as a host.
func (c *Contributor) Avoids(address string, now time.Duration) bool {
	return now < c.avoidedUntil[address]
}

// RecordCollection records that the host requested the deposit.
func (c *Contributor) RecordCollection(now time.Duration) { c.lastCollected = now }

// HostTimedOut records that a host did not answer a request for units in time. The router avoids the host for a while,
// and does not use its pool until a host requests the deposit again.
func (c *Contributor) HostTimedOut(host string, now time.Duration) {
	c.avoidedUntil[host] = now + hostRetryDelay
	c.lastCollected = -collectionValidity
}
