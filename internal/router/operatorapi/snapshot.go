package operatorapi

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/routetable"
)

// ErrSnapshotMismatch is returned for a snapshot with different numbers of base versions and orders.
var ErrSnapshotMismatch = errors.New("snapshot has different numbers of base versions and orders")

// snapshot is a register's state as it is stored and sent. gob encodes it under these field names, which must not
// change.
type snapshot struct {
	Config    []byte  // JSON; empty before the first order
	Taken     []byte  // concatenated digests of the accepted orders
	Bases     []int64 // base versions of these orders; empty in snapshots of earlier versions
	Forgotten int64   // acceptedOrders.forgottenBase + 1: 0 in snapshots of earlier versions
}

// Snapshot returns the complete state.
func (g *Register) Snapshot() []byte {
	orders := &g.accepted
	s := snapshot{Taken: make([]byte, 0, len(orders.digests)*sha256.Size), Bases: orders.bases, Forgotten: orders.forgottenBase + 1}
	for _, d := range orders.digests {
		s.Taken = append(s.Taken, d[:]...)
	}
	if g.config != nil {
		s.Config = g.config.Encode()
	}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(s); err != nil {
		panic("operatorapi: encode snapshot: " + err.Error()) // cannot occur: gob supports all field types
	}
	return encoded.Bytes()
}

// Restore replaces the state by that of a snapshot. On an error the state is unchanged.
func (g *Register) Restore(encoded []byte) error {
	var s snapshot
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&s); err != nil {
		return errors.Wrap(err, "operatorapi: decode snapshot")
	}
	var config *routetable.Config
	if len(s.Config) > 0 {
		var err error
		if config, err = routetable.ParseConfig(s.Config); err != nil {
			return errors.Wrap(err, "operatorapi: parse configuration of snapshot")
		}
	}
	accepted, err := s.acceptedOrders()
	if err != nil {
		return err
	}
	g.config, g.accepted, g.pendingConfig = config, accepted, nil
	return nil
}

// acceptedOrders returns the accepted orders of a snapshot.
func (s *snapshot) acceptedOrders() (acceptedOrders, error) {
	restored := acceptedOrders{bases: s.Bases, known: map[Digest]bool{}, forgottenBase: s.Forgotten - 1}
	switch orders := len(s.Taken) / sha256.Size; {
	case len(s.Bases) == 0: // written by an earlier version, which did not store base versions
		restored.bases = make([]int64, orders)
	case len(s.Bases) != orders:
		return acceptedOrders{}, errors.Wrapf(ErrSnapshotMismatch, "operatorapi: %d base versions, %d orders", len(s.Bases), orders)
	}
	for rest := s.Taken; len(rest) >= sha256.Size; rest = rest[sha256.Size:] {
		d := Digest(rest[:sha256.Size])
		restored.digests = append(restored.digests, d)
		restored.known[d] = true
	}
	return restored, nil
}
