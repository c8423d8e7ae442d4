// Package operatorapi is the operator's side: orders to replace or update the configuration, what is made of them, and the
// HTTP calls that bring them.
//
// Register is the state machine that the core replicates. It is deterministic: the same orders in the same order give
// the same configuration on every replica. Invariants: an order that was taken is known by its content for as long as
// orderMemory later ones, and is never refused: one that may have been taken before that gets no clear answer. Versions only rise, and one
// number names one content.
package operatorapi

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/gob"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/routetable"
)

// maxRememberedOrders is how many orders that were taken are remembered.
const maxRememberedOrders = 4096

// OrderKind says what an order does.
type OrderKind uint8

// The kinds of orders.
const (
	Replace OrderKind = iota + 1
	Update
)

// Order is one call of the operator.
type Order struct {
	Kind OrderKind
	Base int64
	Body []byte
}

// Digest is an order's content.
type Digest [sha256.Size]byte

// Digest is the content of an order: a call that is sent again has the same.
func (o *Order) Digest() Digest { return sha256.Sum256(o.Encode()) }

const orderHeaderBytes = 1 + 8 // kind and base

// Encode gives an order as an entry.
func (o *Order) Encode() []byte {
	out := make([]byte, orderHeaderBytes, orderHeaderBytes+len(o.Body))
	out[0] = byte(o.Kind)
	binary.BigEndian.PutUint64(out[1:], uint64(o.Base))
	return append(out, o.Body...)
}

// DecodeOrder reads an entry.
func DecodeOrder(entry []byte) (*Order, error) {
	if len(entry) < orderHeaderBytes {
		return nil, errors.New("an order is cut off")
	}
	return &Order{Kind: OrderKind(entry[0]), Base: int64(binary.BigEndian.Uint64(entry[1:])), Body: entry[orderHeaderBytes:]}, nil
}

// Register is the replicated configuration.
type Register struct {
	config *routetable.Config
	taken  []Digest // the newest orders, oldest first
	bases  []int64  // the versions that they were taken on top of
	known  map[Digest]bool
	// forgotten is the version that the newest of the orders that are not remembered was taken on top of; -1: all are.
	forgotten int64

	pendingDigest Digest // the order that next was worked out for
	pendingConfig   *routetable.Config
}

// NewRegister makes an empty register.
func NewRegister() *Register { return &Register{known: map[Digest]bool{}, forgotten: -1} }

// Config is the newest configuration, or nil before the first.
func (g *Register) Config() *routetable.Config { return g.config }

// Value is the newest configuration as a *routetable.Config.
func (g *Register) Value() any { return g.config }

// Generation is the newest configuration's number, or 0.
func (g *Register) Generation() int64 {
	if g.config == nil {
		return 0
	}
	return g.config.Generation
}

// Decide says what becomes of an order.
func (g *Register) Decide(entry []byte) replication.Decision {
	o, err := DecodeOrder(entry)
	if err != nil {
		return replication.Decision{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	if g.known[o.Digest()] {
		return replication.Decision{Status: http.StatusOK}
	}
	if o.Base <= g.forgotten {
		return replication.Decision{Status: http.StatusServiceUnavailable, Reason: "too old to tell whether it was taken"}
	}
	if o.Base != g.Generation() {
		return replication.Decision{Status: http.StatusPreconditionFailed, Reason: "another version is current"}
	}
	if _, err := g.result(o); err != nil {
		return replication.Decision{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	return replication.Decision{Accept: true, Status: http.StatusOK}
}

// result is the configuration that an order leads to.
func (g *Register) result(o *Order) (*routetable.Config, error) {
	if d := o.Digest(); g.pendingConfig != nil && g.pendingDigest == d {
		return g.pendingConfig, nil
	}
	next, err := Result(g.config, o)
	if err != nil {
		return nil, err
	}
	if err := next.Validate(g.config); err != nil {
		return nil, err
	}
	g.pendingDigest, g.pendingConfig = o.Digest(), next
	return next, nil
}

// Result is the configuration that an order makes of another, which may be nil. It is not judged.
func Result(base *routetable.Config, o *Order) (*routetable.Config, error) {
	if o.Kind != Update {
		return routetable.ParseConfig(o.Body)
	}
	u, err := routetable.ParseUpdate(o.Body)
	if err != nil {
		return nil, err
	}
	if base == nil {
		base = &routetable.Config{}
	}
	return base.Apply(u), nil
}

// ApplyOrder is Result for an encoded order that was taken.
func ApplyOrder(base *routetable.Config, entry []byte) (*routetable.Config, error) {
	o, err := DecodeOrder(entry)
	if err != nil {
		return nil, err
	}
	return Result(base, o)
}

// Apply takes an order that Decide accepted.
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
	d := o.Digest()
	g.taken, g.bases = append(g.taken, d), append(g.bases, o.Base)
	g.known[d] = true
	if len(g.taken) > maxRememberedOrders {
		delete(g.known, g.taken[0])
		g.forgotten = g.bases[0]
		g.taken, g.bases = slices.Clone(g.taken[1:]), slices.Clone(g.bases[1:])
	}
}

type snapshot struct {
	Config    []byte // JSON, empty before the first
	Taken     []byte // digests, one after the other
	Bases     []int64
	Forgotten int64 // one more than the register's
}

// Snapshot gives the whole state.
func (g *Register) Snapshot() []byte {
	s := snapshot{Taken: make([]byte, 0, len(g.taken)*sha256.Size), Bases: g.bases, Forgotten: g.forgotten + 1}
	for _, d := range g.taken {
		s.Taken = append(s.Taken, d[:]...)
	}
	if g.config != nil {
		s.Config = g.config.Encode()
	}
	var text bytes.Buffer
	gob.NewEncoder(&text).Encode(s)
	return text.Bytes()
}

// Restore takes a whole state.
func (g *Register) Restore(text []byte) error {
	var s snapshot
	if err := gob.NewDecoder(bytes.NewReader(text)).Decode(&s); err != nil {
		return err
	}
	var config *routetable.Config
	if len(s.Config) > 0 {
		var err error
		if config, err = routetable.ParseConfig(s.Config); err != nil {
			return err
		}
	}
	switch orders := len(s.Taken) / sha256.Size; {
	case len(s.Bases) == 0: // of a program that did not keep them
		s.Bases = make([]int64, orders)
	case len(s.Bases) != orders:
		return errors.New("a snapshot's orders and their versions are not as many")
	}
	g.config, g.pendingConfig, g.taken, g.known = config, nil, nil, map[Digest]bool{}
	g.bases, g.forgotten = s.Bases, s.Forgotten-1
	for rest := s.Taken; len(rest) >= sha256.Size; rest = rest[sha256.Size:] {
		d := Digest(rest[:sha256.Size])
		g.taken = append(g.taken, d)
		g.known[d] = true
	}
	return nil
}
