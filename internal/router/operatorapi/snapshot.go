package operatorapi

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/routetable"
)

// ErrSnapshotMismatch is returned for a snapshot that has not as many versions as orders.
var ErrSnapshotMismatch = errors.New("a snapshot has not as many versions as orders")

// snapshot is a register's state as it is stored and sent, encoded by gob under these field names, which must not
// change.
type snapshot struct {
	Config    []byte  // JSON, empty before the first
	Taken     []byte  // digests of the accepted orders, one after the other
	Bases     []int64 // of these orders; empty in snapshots of earlier versions
	Forgotten int64   // acceptedOrders.forgottenBase + 1: 0 in snapshots of earlier versions
}

// Snapshot returns the complete state.
func (g *Register) Snapshot() []byte {
	m := &g.accepted
	s := snapshot{Taken: make([]byte, 0, len(m.digests)*sha256.Size), Bases: m.bases, Forgotten: m.forgottenBase + 1}
	for _, d := range m.digests {
		s.Taken = append(s.Taken, d[:]...)
	}
	if g.config != nil {
		s.Config = g.config.Encode()
	}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(s); err != nil {
		panic("operatorapi: encode a snapshot: " + err.Error()) // gob encodes all its types, and a buffer accepts every write
	}
	return encoded.Bytes()
}

// Restore replaces the state by a snapshot. On an error the state is as before.
func (g *Register) Restore(encoded []byte) error {
	var s snapshot
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&s); err != nil {
		return errors.Wrap(err, "operatorapi: decode a snapshot")
	}
	var config *routetable.Config
	if len(s.Config) > 0 {
		var err error
		if config, err = routetable.ParseConfig(s.Config); err != nil {
			return errors.Wrap(err, "operatorapi: configuration of a snapshot")
		}
	}
	accepted, err := s.acceptedOrders()
	if err != nil {
		return err
	}
	g.config, g.accepted, g.pendingConfig = config, accepted, nil
	return nil
}

// acceptedOrders returns the accepted orders that a snapshot has.
func (s *snapshot) acceptedOrders() (acceptedOrders, error) {
	m := acceptedOrders{bases: s.Bases, known: map[Digest]bool{}, forgottenBase: s.Forgotten - 1}
	switch orders := len(s.Taken) / sha256.Size; {
	case len(s.Bases) == 0: // of an earlier version, which did not store them
		m.bases = make([]int64, orders)
	case len(s.Bases) != orders:
		return acceptedOrders{}, errors.Wrapf(ErrSnapshotMismatch, "operatorapi: %d versions, %d orders", len(s.Bases), orders)
	}
	for rest := s.Taken; len(rest) >= sha256.Size; rest = rest[sha256.Size:] {
		d := Digest(rest[:sha256.Size])
		m.digests = append(m.digests, d)
		m.known[d] = true
	}
	return m, nil
}
