package operatorapi

import "slices"

// maxRememberedOrders is how many accepted orders are remembered.
const maxRememberedOrders = 4096

// allRemembered is the value of forgottenBase while no order has been forgotten.
const allRemembered = -1

// acceptedOrders holds the digests of the newest accepted orders, so that an order that is sent again is acknowledged
// again.
type acceptedOrders struct {
	digests []Digest // oldest first
	bases   []int64  // for each digest, the version that the order was based on
	known   map[Digest]bool
	// forgottenBase is the version that the newest forgotten order was based on.
	forgottenBase int64
}

func newAcceptedOrders() acceptedOrders {
	return acceptedOrders{known: map[Digest]bool{}, forgottenBase: allRemembered}
}

func (a *acceptedOrders) has(d Digest) bool { return a.known[d] }

// mayHaveForgotten reports whether an order that is based on a version may have been accepted and then forgotten.
func (a *acceptedOrders) mayHaveForgotten(base int64) bool { return base <= a.forgottenBase }

// add remembers an accepted order, and forgets the oldest one if there are more than maxRememberedOrders.
func (a *acceptedOrders) add(d Digest, base int64) {
	a.digests, a.bases = append(a.digests, d), append(a.bases, base)
	a.known[d] = true
	if len(a.digests) > maxRememberedOrders {
		delete(a.known, a.digests[0])
		a.forgottenBase = a.bases[0]
		a.digests, a.bases = slices.Clone(a.digests[1:]), slices.Clone(a.bases[1:])
	}
}
