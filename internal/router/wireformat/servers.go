package wireformat

import (
	"bytes"
	"encoding/gob"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/registry"
)

// wireInstance is registry.Instance as it is sent and kept on disk.
type wireInstance struct {
	ID         string
	Service    string
	Address    string
	Zone       string
	Generation string
	Slots      int
	State      registry.State
	ColdUntil  time.Duration // registry.Instance.WarmupRemaining; gob sends this name
	Sequence   int64
}

func toWireInstance(i registry.Instance) wireInstance {
	return wireInstance{
		ID:         i.ID,
		Service:    i.Service,
		Address:    i.Address,
		Zone:       i.Zone,
		Generation: i.Generation,
		Slots:      i.Slots,
		State:      i.State,
		ColdUntil:  i.WarmupRemaining,
		Sequence:   i.Sequence,
	}
}

func (w wireInstance) instance() registry.Instance {
	return registry.Instance{
		ID:              w.ID,
		Service:         w.Service,
		Address:         w.Address,
		Zone:            w.Zone,
		Generation:      w.Generation,
		Slots:           w.Slots,
		State:           w.State,
		WarmupRemaining: w.ColdUntil,
		Sequence:        w.Sequence,
	}
}

// wireUpdate is registry.Update as it is sent and kept on disk.
type wireUpdate struct {
	Instance wireInstance
	Lost     bool
	Age      time.Duration
}

func toWireUpdates(updates []registry.Update) []wireUpdate {
	if updates == nil {
		return nil
	}
	wire := make([]wireUpdate, 0, len(updates))
	for _, u := range updates {
		wire = append(wire, wireUpdate{Instance: toWireInstance(u.Instance), Lost: u.Lost, Age: u.Age})
	}
	return wire
}

func fromWireUpdates(wire []wireUpdate) []registry.Update {
	if wire == nil {
		return nil
	}
	updates := make([]registry.Update, 0, len(wire))
	for _, w := range wire {
		updates = append(updates, registry.Update{Instance: w.Instance.instance(), Lost: w.Lost, Age: w.Age})
	}
	return updates
}

// EncodeServers returns the content of the server cache that a core member keeps on its disk.
func EncodeServers(updates []registry.Update) ([]byte, error) {
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(toWireUpdates(updates)); err != nil {
		return nil, errors.Wrap(err, "wireformat: encode the list of servers")
	}
	return encoded.Bytes(), nil
}

// DecodeServers decodes the output of EncodeServers of this version or an earlier one.
func DecodeServers(encoded []byte) ([]registry.Update, error) {
	var wire []wireUpdate
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&wire); err != nil {
		return nil, errors.Wrap(err, "wireformat: decode the list of servers")
	}
	return fromWireUpdates(wire), nil
}
