package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"petrelhook/internal/sidecar/member"
)

// catalogMessage is one message of discovery: the whole list, or what has changed.
type catalogMessage struct {
	Generation uint64            `json:"generation"`
	Reset      bool              `json:"reset"`
	Instances  []catalogInstance `json:"instances"`
}

// catalogInstance is one entry of a catalog.
type catalogInstance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt float64 `json:"startedAtMs"`
}

// EntryError is what is wrong with a message.
type EntryError struct {
	Field   string // as instances[3].hostPort
	Problem string
	Remedy  string // what would be right; "" where the problem says it
}

func (e *EntryError) Error() string { return fmt.Sprintf("catalog: %s: %s", e.Field, e.Problem) }

var states = map[string]member.State{"up": member.Up, "draining": member.Draining, "removed": member.Removed}

// Parse reads one message. One bad entry spoils it all: half a list would be worse than none.
func Parse(raw []byte) (member.List, error) {
	var c catalogMessage
	if err := json.Unmarshal(raw, &c); err != nil {
		return member.List{}, fmt.Errorf("catalog: %w", err)
	}
	if c.Instances == nil {
		return member.List{}, &EntryError{"instances", "missing", "write a list in brackets, which may be empty"}
	}
	list := member.List{Generation: c.Generation, Complete: c.Reset}
	for i, in := range c.Instances {
		at := fmt.Sprintf("instances[%d].", i)
		state, known := states[in.Lifecycle]
		if !known {
			return member.List{}, &EntryError{at + "lifecycle", fmt.Sprintf("unknown lifecycle %q", in.Lifecycle), "write up, draining or removed"}
		}
		if in.ID == "" {
			return member.List{}, &EntryError{at + "instanceId", "empty", "write the server's name"}
		}
		if _, _, err := net.SplitHostPort(in.HostPort); err != nil && state != member.Removed {
			return member.List{}, &EntryError{at + "hostPort", fmt.Sprintf("%q is no address", in.HostPort), "write host:port"}
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
