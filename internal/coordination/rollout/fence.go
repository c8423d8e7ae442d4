package rollout

import (
	"fmt"
	"maps"
)

// Fence is the record of drivers and orders that an agent persists, so that it refuses calls with an older fencing token and executes an
// order only once.
type Fence struct {
	Token      uint64            `json:"token"` // the newest token that was seen
	LastOrders map[string]uint64 `json:"last"`  // the number of the last order, by sidecar
}

// StaleTokenError is returned for a call of a driver after the agent has seen a newer fencing token.
type StaleTokenError struct{ Token, Newest uint64 }

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("the driver with token %d: one with %d was heard", e.Token, e.Newest)
}

// StaleOrderError is returned for an order that arrives after a later one for the same sidecar.
type StaleOrderError struct{ Number, Last uint64 }

func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("order %d: order %d came after it", e.Number, e.Last)
}

// ObserveToken records the fencing token of a driver. It returns a *StaleTokenError if a newer token is known.
func (f *Fence) ObserveToken(token uint64) error {
	if token < f.Token {
		return &StaleTokenError{token, f.Token}
	}
	f.Token = token
	return nil
}

// Equal reports whether two fences refuse the same calls.
func (f Fence) Equal(other Fence) bool {
	return f.Token == other.Token && maps.Equal(f.LastOrders, other.LastOrders)
}

// Admit records an order; known reports that it was admitted before and need not be executed again. The error is or wraps a
// *StaleTokenError or a *StaleOrderError, and then the order is not recorded.
func (f *Fence) Admit(token uint64, order Order) (known bool, err error) {
	if err := f.ObserveToken(token); err != nil {
		return false, fmt.Errorf("order %d of %w", order.Number, err)
	}
	if f.LastOrders == nil {
		f.LastOrders = map[string]uint64{}
	}
	if last := f.LastOrders[order.Sidecar]; order.Number <= last {
		if order.Number < last {
			return false, &StaleOrderError{order.Number, last}
		}
		return true, nil
	}
	f.LastOrders[order.Sidecar] = order.Number
	return false, nil
}
