package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"petrelhook/internal/member"
)

// catalog is one message of discovery: the whole list, or what has changed.
type catalog struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// instance is one entry of a catalog.
type instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt float64 `json:"startedAtMs"`
}

var lifecycles = map[string]member.State{"up": member.Up, "draining": member.Draining, "removed": member.Removed}

// Parse reads one message. One bad entry spoils it all: half a list would be worse than none.
func Parse(raw []byte) (member.List, error) {
	var c catalog
	if err := json.Unmarshal(raw, &c); err != nil {
		return member.List{}, fmt.Errorf("catalog: %w", err)
	}
	if c.Instances == nil {
		return member.List{}, errors.New("catalog: no instances")
	}
	list := member.List{Generation: c.Generation, Whole: c.Reset}
	for _, in := range c.Instances {
		state, known := lifecycles[in.Lifecycle]
		if !known {
			return member.List{}, fmt.Errorf("catalog: %q: unknown lifecycle %q", in.ID, in.Lifecycle)
		}
		_, _, err := net.SplitHostPort(in.HostPort)
		if in.ID == "" || err != nil && state != member.Removed {
			return member.List{}, fmt.Errorf("catalog: %q: bad entry, address %q", in.ID, in.HostPort)
		}
		m := member.Instance{
			ID: in.ID, Addr: in.HostPort, Zone: in.Zone, Kind: in.Kind, Cell: in.Cell, State: state, Weight: in.Weight,
		}
		if in.StartedAt > 0 && in.StartedAt < 1e15 {
			m.Started = time.UnixMicro(int64(in.StartedAt * 1000))
		}
		list.Instances = append(list.Instances, m)
	}
	return list, nil
}
