// Package operatorapi is the state machine that the core replicates: the newest configuration, and which of the
// operator's orders led to it. It answers what becomes of an order to replace or update the configuration. It does not
// serve the HTTP calls that bring orders (internal/router/node does), and it does not know how orders are replicated
// (internal/router/replication does).
//
// Register is deterministic: the same orders in the same order give the same configuration on every replica.
// Invariants: an order that was accepted is recognized by its content for as long as maxRememberedOrders later ones,
// and is never rejected: one that may have been accepted before that gets no clear answer. Versions only rise, and one
// number names one content.
//
// A Register is not safe for concurrent use: the replica alone calls it, under the router's lock. Configurations that
// it returns are immutable.
package operatorapi

import (
	"net/http"

	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/routetable"
)

// Reasons that the operator gets with a status.
const (
	reasonUnclear      = "the order is too old to tell whether it was accepted"
	reasonOtherVersion = "another version is current"
)

// Register is the replicated configuration. It implements replication.StateMachine.
type Register struct {
	config   *routetable.Config // nil before the first
	accepted acceptedOrders

	// The configuration that Decide worked out, for Apply: an order is parsed and validated once.
	pendingDigest Digest
	pendingConfig *routetable.Config
}

var _ replication.StateMachine = (*Register)(nil)

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{accepted: newAcceptedOrders()} }

// Config returns the newest configuration, or nil before the first.
func (g *Register) Config() *routetable.Config { return g.config }

// Value returns the newest configuration as a *routetable.Config.
func (g *Register) Value() any { return g.config }

// Generation returns the newest configuration's number, or 0 before the first.
func (g *Register) Generation() int64 {
	if g.config == nil {
		return 0
	}
	return g.config.Generation
}

// Decide says what becomes of an encoded order, with the status for the operator: 200 if it was accepted before or can
// be now (then Accept is set), 400 if it is invalid, 412 if it is not on top of the current version, 503 if it may have
// been accepted long ago.
func (g *Register) Decide(entry []byte) replication.Decision {
	o, err := DecodeOrder(entry)
	if err != nil {
		return replication.Decision{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	if g.accepted.has(o.Digest()) {
		return replication.Decision{Status: http.StatusOK}
	}
	if g.accepted.mayHaveForgotten(o.Base) {
		return replication.Decision{Status: http.StatusServiceUnavailable, Reason: reasonUnclear}
	}
	if o.Base != g.Generation() {
		return replication.Decision{Status: http.StatusPreconditionFailed, Reason: reasonOtherVersion}
	}
	if _, err := g.result(o); err != nil {
		return replication.Decision{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	return replication.Decision{Accept: true, Status: http.StatusOK}
}

// Apply applies an order that Decide accepted, here or on another replica.
func (g *Register) Apply(entry []byte) {
	o, err := DecodeOrder(entry)
	if err != nil {
		return
	}
	next, err := g.result(o)
	if err != nil {
		return
	}
	g.config, g.pendingConfig = next, nil
	g.accepted.add(o.Digest(), o.Base)
}

// result returns the valid configuration that an order leads to.
func (g *Register) result(o *Order) (*routetable.Config, error) {
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
