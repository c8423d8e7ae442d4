package dissemination

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/routetable"
)

// maxRetainedOrders is how many orders a sidecar keeps for subscribers that are a little behind.
const maxRetainedOrders = 64

// ErrBehind says that orders do not follow the version that is held.
var ErrBehind = errors.New("orders do not follow this version")

// ApplyOrder makes the configuration that an order leads to.
type ApplyOrder func(base *routetable.Config, order []byte) (*routetable.Config, error)

// Versions is the committed configuration as one sidecar holds it. It never goes back.
type Versions struct {
	apply   ApplyOrder
	version uint64
	config  *routetable.Config
	orders  [][]byte // the last ones, up to version

	compressedSnapshot []byte // the snapshot of packedVersion
	compressedVersion  uint64
}

// NewVersions makes an empty one.
func NewVersions(apply ApplyOrder) *Versions { return &Versions{apply: apply} }

// Version is the number of the version held; 0 is none.
func (v *Versions) Version() uint64 { return v.version }

// Config is the configuration held, or nil.
func (v *Versions) Config() *routetable.Config { return v.config }

// Commit takes a committed configuration, with the last orders that led to it as far as they are known; it reports whether it
// is newer.
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

// FillPush puts into a push what a subscriber with a version lacks.
func (v *Versions) FillPush(p *Push, has uint64) {
	p.Version = v.version
	if has >= v.version {
		return
	}
	if missing := v.version - has; has > 0 && missing <= uint64(len(v.orders)) {
		p.FromVersion = has
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

// ApplyPush takes in a push; it reports whether the configuration is newer, and ErrBehind where a snapshot is needed.
func (v *Versions) ApplyPush(p *Push) (bool, error) {
	if p.Version <= v.version {
		return false, nil
	}
	if len(p.Snapshot) > 0 {
		text, err := decompress(p.Snapshot)
		if err != nil {
			return false, err
		}
		config, err := routetable.ParseConfig(text)
		if err != nil {
			return false, err
		}
		return v.Commit(p.Version, config, nil), nil
	}
	if len(p.Orders) == 0 || p.FromVersion > v.version {
		return false, ErrBehind
	}
	changed := false
	for i, order := range p.Orders {
		version := p.FromVersion + uint64(i) + 1
		if version <= v.version {
			continue
		}
		config, err := v.apply(v.config, order)
		if err != nil {
			return changed, err
		}
		changed = v.Commit(version, config, [][]byte{order}) || changed
	}
	return changed, nil
}

func compress(text []byte) []byte {
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.BestSpeed)
	w.Write(text)
	w.Close()
	return out.Bytes()
}

func decompress(packed []byte) ([]byte, error) {
	return io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
}
