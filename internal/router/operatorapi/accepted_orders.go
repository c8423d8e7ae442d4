package operatorapi

import "slices"

// maxRememberedOrders is how many accepted orders are remembered.
const maxRememberedOrders = 4096

// allRemembered is forgottenBase while no order was dropped.
const allRemembered = -1

// acceptedOrders are the newest accepted orders, kept so that one which is sent again is acknowledged again.
type acceptedOrders struct {
	digests []Digest // oldest first
	bases   []int64  // the versions that the orders were accepted on top of
	known   map[Digest]bool
	// forgottenBase is the version that the newest order which is not remembered any more was accepted on top of.
	forgottenBase int64
}

func newAcceptedOrders() acceptedOrders {
	return acceptedOrders{known: map[Digest]bool{}, forgottenBase: allRemembered}
}

func (m *acceptedOrders) has(d Digest) bool { return m.known[d] }

// mayHaveForgotten reports whether an order on top of a version may have been accepted and dropped.
func (m *acceptedOrders) mayHaveForgotten(base int64) bool { return base <= m.forgottenBase }

// add remembers an order, and drops the oldest one beyond the bound.
func (m *acceptedOrders) add(d Digest, base int64) {
	m.digests, m.bases = append(m.digests, d), append(m.bases, base)
	m.known[d] = true
	if len(m.digests) > maxRememberedOrders {
		delete(m.known, m.digests[0])
		m.forgottenBase = m.bases[0]
		m.digests, m.bases = slices.Clone(m.digests[1:]), slices.Clone(m.bases[1:])
	}
}
