package dissemination

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/routetable"
)

// maxRetainedOrders is how many orders a router keeps for subscribers that are slightly behind. A subscriber that lacks
// more gets a snapshot.
const maxRetainedOrders = 64

// ErrVersionGap is returned if the orders of a Push do not follow the version held, so that a snapshot is needed.
var ErrVersionGap = errors.New("orders do not follow the version held")

// ApplyOrder returns the configuration that results from applying an encoded order to base, which it does not change.
type ApplyOrder func(base *routetable.Config, order []byte) (*routetable.Config, error)

// Versions holds the committed configuration of one router, with the last orders that led to it. Its version never
// decreases. The caller holds a lock around every call.
type Versions struct {
	apply   ApplyOrder
	version uint64
	config  *routetable.Config
	orders  [][]byte // the last ones, up to version

	compressedSnapshot []byte // of compressedVersion, created on first use
	compressedVersion  uint64
}

// NewVersions returns Versions without a configuration.
func NewVersions(apply ApplyOrder) *Versions { return &Versions{apply: apply} }

// Version returns the number of the version held, or 0 if there is none.
func (v *Versions) Version() uint64 { return v.version }

// Config returns the configuration held, or nil.
func (v *Versions) Config() *routetable.Config { return v.config }

// Commit replaces the configuration by a committed one if that is newer, and reports whether it was. Argument orders
// holds the last orders that led to the new configuration, as many as are known.
func (v *Versions) Commit(version uint64, config *routetable.Config, orders [][]byte) bool {
	if version <= v.version || config == nil {
		return false
	}
	if missing := version - v.version; v.version > 0 && missing <= uint64(len(orders)) {
		v.appendOrders(orders[uint64(len(orders))-missing:])
	} else {
		v.orders = nil
	}
	v.version, v.config = version, config
	return true
}

func (v *Versions) appendOrders(orders [][]byte) {
	v.orders = append(v.orders, orders...)
	if len(v.orders) > maxRetainedOrders {
		v.orders = append([][]byte(nil), v.orders[len(v.orders)-maxRetainedOrders:]...)
	}
}

// FillPush adds to a push the configuration for a subscriber that holds subscriberVersion: the orders since then, or a
// snapshot if these are no longer known.
func (v *Versions) FillPush(p *Push, subscriberVersion uint64) {
	p.Version = v.version
	if subscriberVersion >= v.version {
		return
	}
	if missing := v.version - subscriberVersion; subscriberVersion > 0 && missing <= uint64(len(v.orders)) {
		p.FromVersion = subscriberVersion
		p.Orders = v.orders[uint64(len(v.orders))-missing:]
		return
	}
	p.Snapshot = v.snapshot()
}

func (v *Versions) snapshot() []byte {
	if v.compressedVersion != v.version {
		v.compressedSnapshot, v.compressedVersion = compress(v.config.Encode()), v.version
	}
	return v.compressedSnapshot
}

// ApplyPush applies the configuration of a push. It reports whether the configuration held has become newer, which it
// may have even if there is an error; the error is ErrVersionGap if a snapshot is needed.
func (v *Versions) ApplyPush(p *Push) (bool, error) {
	switch {
	case p.Version <= v.version:
		return false, nil
	case len(p.Snapshot) > 0:
		return v.applySnapshot(p)
	case len(p.Orders) == 0 || p.FromVersion > v.version:
		return false, ErrVersionGap
	default:
		return v.applyOrders(p)
	}
}

func (v *Versions) applySnapshot(p *Push) (bool, error) {
	text, err := decompress(p.Snapshot)
	if err != nil {
		return false, errors.Wrapf(err, "decompress snapshot of version %d", p.Version)
	}
	config, err := routetable.ParseConfig(text)
	if err != nil {
		return false, errors.Wrapf(err, "parse snapshot of version %d", p.Version)
	}
	return v.Commit(p.Version, config, nil), nil
}

func (v *Versions) applyOrders(p *Push) (bool, error) {
	changed := false
	for i, order := range p.Orders {
		version := p.FromVersion + uint64(i) + 1
		if version <= v.version {
			continue
		}
		config, err := v.apply(v.config, order)
		if err != nil {
			return changed, errors.Wrapf(err, "apply order of version %d", version)
		}
		changed = v.Commit(version, config, [][]byte{order}) || changed
	}
	return changed, nil
}

// compress ignores the errors of flate, which cannot occur: the level is valid, and writes to a buffer do not fail.
func compress(text []byte) []byte {
	var compressed bytes.Buffer
	w, _ := flate.NewWriter(&compressed, flate.BestSpeed)
	_, _ = w.Write(text)
	_ = w.Close()
	return compressed.Bytes()
}

func decompress(compressed []byte) ([]byte, error) {
	return io.ReadAll(flate.NewReader(bytes.NewReader(compressed)))
}
