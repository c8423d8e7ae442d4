// Package operatorapi implements the state machine that the core replicates: the newest configuration, and the
// operator's orders that led to it. It decides whether an order to replace or update the configuration is accepted. It
// does not serve the HTTP calls that carry orders (internal/router/node does), and it does not replicate orders
// (internal/router/replication does).
//
// Register is deterministic: the same orders in the same sequence give the same configuration on every replica.
// Invariants: an accepted order is recognized by its content until maxRememberedOrders later orders have been accepted.
// An accepted order that is sent again is never reported as invalid or outdated: it gets status 200, or status 503 if it is
// so old that it may have been forgotten. Version numbers only increase, and no two contents have the same version number.
//
// A Register is not safe for concurrent use: only the replica calls it, under the router's lock. The configurations
// that it returns are immutable.
package operatorapi

import (
	"net/http"

	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/routetable"
)

// Reasons that are sent to the operator with an HTTP status.
const (
	reasonMaybeForgotten = "the order is too old to tell whether it was accepted"
	reasonOtherVersion   = "another version is current"
)

// Register is the replicated configuration. It implements replication.StateMachine.
type Register struct {
	config   *routetable.Config // nil before the first order
	accepted acceptedOrders

	// pendingConfig is the configuration that results from the order with the digest pendingDigest, or nil if there is
	// none. Decide stores it for Apply, so that the configuration is built and validated only once.
	pendingDigest Digest
	pendingConfig *routetable.Config
}

var _ replication.StateMachine = (*Register)(nil)

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{accepted: newAcceptedOrders()} }

// Config returns the newest configuration, or nil before the first order.
func (g *Register) Config() *routetable.Config { return g.config }

// Value returns the newest configuration as a *routetable.Config.
func (g *Register) Value() any { return g.config }

// Generation returns the version number of the newest configuration, or 0 before the first order.
func (g *Register) Generation() int64 {
	if g.config == nil {
		return 0
	}
	return g.config.Generation
}

// Decide returns whether an encoded order can be accepted, and the HTTP status for the operator: 200 if the order can
// be accepted now or was accepted before, 400 if it is invalid, 412 if it is not based on the current version, 503 if it
// may have been accepted and forgotten. Accept is set only if the order can be accepted now.
func (g *Register) Decide(entry []byte) replication.Decision {
	o, err := DecodeOrder(entry)
	if err != nil {
		return replication.Decision{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	if g.accepted.has(o.Digest()) {
		return replication.Decision{Status: http.StatusOK}
	}
	if g.accepted.mayHaveForgotten(o.Base) {
		return replication.Decision{Status: http.StatusServiceUnavailable, Reason: reasonMaybeForgotten}
	}
	if o.Base != g.Generation() {
		return replication.Decision{Status: http.StatusPreconditionFailed, Reason: reasonOtherVersion}
	}
	if _, err := g.resultingConfig(o); err != nil {
		return replication.Decision{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	return replication.Decision{Accept: true, Status: http.StatusOK}
}

// Apply applies an order that Decide accepted on this replica or another one. An order that is invalid has no effect.
func (g *Register) Apply(entry []byte) {
	o, err := DecodeOrder(entry)
	if err != nil {
		return
	}
	next, err := g.resultingConfig(o)
	if err != nil {
		return
	}
	g.config, g.pendingConfig = next, nil
	g.accepted.add(o.Digest(), o.Base)
}

// resultingConfig returns the validated configuration that results from an order, and stores it as pendingConfig.
func (g *Register) resultingConfig(o *Order) (*routetable.Config, error) {
	digest := o.Digest()
	if g.pendingConfig != nil && g.pendingDigest == digest {
		return g.pendingConfig, nil
	}
	next, err := o.applyTo(g.config)
	if err != nil {
		return nil, err
	}
	if err := next.Validate(g.config); err != nil {
		return nil, err
	}
	g.pendingDigest, g.pendingConfig = digest, next
	return next, nil
}
