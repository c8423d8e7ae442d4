package operatorapi

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/routetable"
)

// errOrderTruncated is returned for an entry that is shorter than an order's header.
var errOrderTruncated = errors.New("the order is truncated")

// OrderKind is the operation that an order requests.
type OrderKind uint8

// The kinds of orders. Their numbers are part of the encoding.
const (
	Replace OrderKind = iota + 1 // Body is a complete configuration
	Update                       // Body is an update of the current configuration
)

// Order is one configuration call of the operator.
type Order struct {
	Kind OrderKind
	Base int64  // the version that the operator expects to be current
	Body []byte // JSON, as the operator sent it
}

// Digest identifies the content of an order.
type Digest [sha256.Size]byte

// Digest returns the digest of the encoded order. A call that is sent again has the same digest.
func (o *Order) Digest() Digest { return sha256.Sum256(o.Encode()) }

const orderHeaderBytes = 1 + 8 // kind and base, big-endian

// Encode returns the order as an entry for the state machine.
func (o *Order) Encode() []byte {
	entry := make([]byte, orderHeaderBytes, orderHeaderBytes+len(o.Body))
	entry[0] = byte(o.Kind)
	binary.BigEndian.PutUint64(entry[1:], uint64(o.Base))
	return append(entry, o.Body...)
}

// DecodeOrder decodes an entry. The order shares memory with the entry.
func DecodeOrder(entry []byte) (*Order, error) {
	if len(entry) < orderHeaderBytes {
		return nil, errOrderTruncated
	}
	return &Order{Kind: OrderKind(entry[0]), Base: int64(binary.BigEndian.Uint64(entry[1:])), Body: entry[orderHeaderBytes:]}, nil
}

// ApplyOrder returns the configuration that results from applying an accepted, encoded order to base, which may be nil.
func ApplyOrder(base *routetable.Config, entry []byte) (*routetable.Config, error) {
	o, err := DecodeOrder(entry)
	if err != nil {
		return nil, err
	}
	return o.applyTo(base)
}

// applyTo returns the configuration that results from applying the order to base, which may be nil. It does not
// validate the result.
func (o *Order) applyTo(base *routetable.Config) (*routetable.Config, error) {
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
