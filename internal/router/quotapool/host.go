package quotapool

import (
	"time"

	"petrelhook/internal/router/quota"
)

const (
	// CollectInterval is the time between two requests for a deposit to the same router. Deposits expire, so a host has to
	// request them again.
	CollectInterval = 200 * time.Millisecond
	// OfferValidity is how long after a router's last offer or deposit the host continues to send it requests.
	OfferValidity = 2 * time.Second
)

// Host is the state of a core member that hosts a pool. NewHost creates it.
type Host struct {
	pool   *quota.Pool
	offers map[string]*offer // by the router's internal address
}

// offer is the offer of a router without contact to the primary to deposit its shares.
type offer struct {
	nonce       uint64        // of the latest request for the deposit
	collectedAt time.Duration // time of the latest request
	lastContact time.Duration // time of the latest offer or deposit
}

// NewHost returns a Host without offers and deposits.
func NewHost() *Host { return &Host{pool: quota.NewPool(), offers: map[string]*offer{}} }

// ReceiveOffer records that a router offers its deposit. The caller should request the deposit at once.
func (h *Host) ReceiveOffer(address string, now time.Duration) {
	if h.offers[address] == nil {
		h.offers[address] = &offer{}
	}
	h.offers[address].lastContact = now
}

// DueForCollection removes the routers that have sent neither an offer nor a deposit within OfferValidity, and returns the
// addresses of those whose deposits are to be requested now. The caller calls Collect for each, and sends the request.
func (h *Host) DueForCollection(now time.Duration) (due []string) {
	for address, o := range h.offers {
		if now-o.lastContact > OfferValidity {
			delete(h.offers, address)
		} else if now-o.collectedAt >= CollectInterval {
			due = append(due, address)
		}
	}
	return due
}

// Collect records that a router is sent a request for its deposit, identified by nonce. The validity of the deposit
// counts from now for the pool, and from the later answer for the router, so that the pool stops spending the deposit
// before the router spends its shares again.
func (h *Host) Collect(address string, nonce uint64, now time.Duration) {
	if o := h.offers[address]; o != nil {
		o.nonce, o.collectedAt = nonce, now
	}
}

// ReceiveDeposit replaces a router's deposit by its answer to the latest request. It ignores answers to earlier requests.
// After an empty deposit the host sends the router no more requests.
func (h *Host) ReceiveDeposit(address string, nonce uint64, d quota.Deposit, now time.Duration) {
	o := h.offers[address]
	if o == nil || o.nonce != nonce {
		return
	}
	h.pool.Put(address, d, o.collectedAt, now)
	if d.For <= 0 {
		delete(h.offers, address)
		return
	}
	o.lastContact = now
}

// Acquire spends units of a tenant's limit. If granted is false, wait is the time until the units are available, 0 if
// that time is unknown.
func (h *Host) Acquire(tenant string, units float64, now time.Duration) (granted bool, wait time.Duration) {
	verdict, wait := h.pool.Reserve(tenant, units, now)
	return verdict == quota.Granted, wait
}

// SetLimits replaces the tenants' limits by those of a new configuration. The Host keeps the map; the caller must not
// change it afterwards.
func (h *Host) SetLimits(limits map[string]quota.Limit) { h.pool.SetLimits(limits) }

// Offers returns the number of routers from which the host requests deposits.
func (h *Host) Offers() int { return len(h.offers) }

// Deposits returns the number of valid deposits.
func (h *Host) Deposits(now time.Duration) int { return h.pool.DepositCount(now) }
