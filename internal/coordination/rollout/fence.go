package rollout

import (
	"fmt"
	"maps"
)

// Fence is what an agent persists of the drivers that called it: calls with an older fencing token are refused, and an order is carried
// out once.
type Fence struct {
	Token      uint64            `json:"token"` // the newest that was seen
	LastOrders map[string]uint64 `json:"last"`  // the number of the last order, by sidecar
}

// StaleTokenError says that a driver called after another one whose fencing token is newer.
type StaleTokenError struct{ Token, Newest uint64 }

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("the driver with token %d: one with %d was heard", e.Token, e.Newest)
}

// StaleOrderError says that an order came after a later one for the same sidecar.
type StaleOrderError struct{ Number, Last uint64 }

func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("order %d: order %d came after it", e.Number, e.Last)
}

// ObserveToken notes a driver's fencing token. The error is a StaleTokenError.
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

// Admit notes an order; known says that it was admitted before. The error is a StaleTokenError or a StaleOrderError, and then nothing is
// noted of the order.
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
