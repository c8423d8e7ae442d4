package quotapool

import (
	"time"

	"petrelhook/internal/router/quota"
)

const (
	// CollectInterval is the time between two questions for a deposit to the same router. Deposits end by themselves.
	CollectInterval = 200 * time.Millisecond
	// OfferValidity is how long after its last offer or deposit a router is asked.
	OfferValidity = 2 * time.Second
)

// Host is a core member's pool. Make it by NewHost.
type Host struct {
	pool   *quota.Pool
	offers map[string]*offer // by the router's internal address
}

// offer is a router that has no contact with the primary and offered its deposit.
type offer struct {
	nonce       uint64 // of the last question for the deposit
	collectedAt time.Duration
	lastContact time.Duration
}

// NewHost returns a host without deposits.
func NewHost() *Host { return &Host{pool: quota.NewPool(), offers: map[string]*offer{}} }

// ReceiveOffer records that a router offers its deposit. The caller is to ask for it at once.
func (h *Host) ReceiveOffer(address string, now time.Duration) {
	if h.offers[address] == nil {
		h.offers[address] = &offer{}
	}
	h.offers[address].lastContact = now
}

// Review drops the routers that have not answered for long, and returns those that are to be asked for their deposit
// now.
func (h *Host) Review(now time.Duration) (due []string) {
	for address, o := range h.offers {
		if now-o.lastContact > OfferValidity {
			delete(h.offers, address)
		} else if now-o.collectedAt >= CollectInterval {
			due = append(due, address)
		}
	}
	return due
}

// Collect records that a router is being asked for its deposit. The deposit counts from now on, since the router counts
// it from when it answers: the pool never spends of it after its router does.
func (h *Host) Collect(address string, nonce uint64, now time.Duration) {
	if o := h.offers[address]; o != nil {
		o.nonce, o.collectedAt = nonce, now
	}
}

// ReceiveDeposit replaces a router's deposit by its answer to the last question; answers to others are ignored. After
// an empty deposit the router is not asked any more.
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

// Acquire spends units of a tenant's limit; where it does not grant them, wait is the time until it would, 0 where that
// is not known.
func (h *Host) Acquire(tenant string, units float64, now time.Duration) (granted bool, wait time.Duration) {
	verdict, wait := h.pool.Reserve(tenant, units, now)
	return verdict == quota.Granted, wait
}

// SetLimits replaces the tenants' limits by those of a new configuration.
func (h *Host) SetLimits(limits map[string]quota.Limit) { h.pool.SetLimits(limits) }

// Offers returns the number of routers that are asked for deposits.
func (h *Host) Offers() int { return len(h.offers) }

// Deposits returns the number of deposits that are valid now.
func (h *Host) Deposits(now time.Duration) int { return h.pool.DepositCount(now) }
