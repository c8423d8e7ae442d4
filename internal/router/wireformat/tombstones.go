package wireformat

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/registry"
)

// tombstoneRecord is a tombstone as it is kept on disk: a server that is draining or deregistered.
type tombstoneRecord struct {
	ID         string
	State      string // draining or deregistered
	Sequence   int64
	Service    string `json:",omitempty"`
	Address    string `json:",omitempty"`
	Zone       string `json:",omitempty"`
	Generation string `json:",omitempty"`
	Slots      int    `json:",omitempty"`
}

// The values of tombstoneRecord.State.
const (
	stateDraining     = "draining"
	stateDeregistered = "deregistered"
)

// EncodeTombstone returns the record of an instance that is draining or deregistered. It has no line break.
func EncodeTombstone(i registry.Instance) ([]byte, error) {
	record := tombstoneRecord{ID: i.ID, Sequence: i.Sequence, Service: i.Service, Address: i.Address, Zone: i.Zone,
		Generation: i.Generation, Slots: i.Slots}
	switch i.State {
	case registry.Draining:
		record.State = stateDraining
	case registry.Deregistered:
		record.State = stateDeregistered
	default:
		return nil, errors.Newf("wireformat: server %s is ready: it has no tombstone", i.ID)
	}
	encoded, err := json.Marshal(record)
	return encoded, errors.Wrap(err, "wireformat: encode a tombstone")
}

// DecodeTombstone decodes the output of EncodeTombstone of this version or an earlier one.
func DecodeTombstone(encoded []byte) (registry.Instance, error) {
	var record tombstoneRecord
	if err := json.Unmarshal(encoded, &record); err != nil {
		return registry.Instance{}, errors.Wrap(err, "wireformat: decode a tombstone")
	}
	i := registry.Instance{ID: record.ID, Sequence: record.Sequence, Service: record.Service, Address: record.Address, Zone: record.Zone,
		Generation: record.Generation, Slots: record.Slots}
	switch record.State {
	case stateDraining:
		i.State = registry.Draining
	case stateDeregistered:
		i.State = registry.Deregistered
	default:
		return registry.Instance{}, errors.Newf("wireformat: tombstone of server %q: unknown state %q", record.ID, record.State)
	}
	return i, nil
}
