package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"petrelhook/internal/sidecar/member"
)

// catalogMessage is one message of discovery: the complete list or changes.
type catalogMessage struct {
	Generation uint64            `json:"generation"`
	Reset      bool              `json:"reset"` // the list is complete
	Instances  []catalogInstance `json:"instances"`
}

// catalogInstance is one entry of a message.
type catalogInstance struct {
	ID            string  `json:"instanceId"`
	HostPort      string  `json:"hostPort"`
	Zone          string  `json:"zone"`
	Kind          string  `json:"machineType"`
	Cell          int     `json:"cell"`
	Lifecycle     string  `json:"lifecycle"`
	Weight        float64 `json:"weight"`
	StartedMillis float64 `json:"startedAtMs"` // Unix time
}

// maxStartedMillis bounds plausible start times, in milliseconds of Unix time. Start times that are not below it count
// as unknown.
const maxStartedMillis = 1e15

// EntryError is returned by Parse for a message in which an entry or a field is invalid.
type EntryError struct {
	Field   string // for example instances[3].hostPort
	Problem string
	Remedy  string // what to write instead; empty if Problem already says so
}

func (e *EntryError) Error() string { return fmt.Sprintf("catalog: %s: %s", e.Field, e.Problem) }

// states maps the values of lifecycle in messages to states.
var states = map[string]member.State{"up": member.Up, "draining": member.Draining, "removed": member.Removed}

// Parse parses one message. One invalid entry invalidates the message, because part of a list would be worse than none. If an
// entry or a field is invalid, the error is an *EntryError.
func Parse(raw []byte) (member.List, error) {
	var catalog catalogMessage
	if err := json.Unmarshal(raw, &catalog); err != nil {
		return member.List{}, fmt.Errorf("catalog: %w", err)
	}
	if catalog.Instances == nil {
		return member.List{}, &EntryError{"instances", "missing", "write a list in brackets, which may be empty"}
	}
	list := member.List{Generation: catalog.Generation, Complete: catalog.Reset}
	for i, entry := range catalog.Instances {
		instance, err := entry.parse(fmt.Sprintf("instances[%d].", i))
		if err != nil {
			return member.List{}, err
		}
		list.Instances = append(list.Instances, instance)
	}
	return list, nil
}

// parse checks an entry and converts it. path is the prefix of field names in errors.
func (c *catalogInstance) parse(path string) (member.Instance, error) {
	state, known := states[c.Lifecycle]
	if !known {
		return member.Instance{}, &EntryError{path + "lifecycle", fmt.Sprintf("unknown lifecycle %q", c.Lifecycle), "write up, draining or removed"}
	}
	if c.ID == "" {
		return member.Instance{}, &EntryError{path + "instanceId", "empty", "write the server's name"}
	}
	if _, _, err := net.SplitHostPort(c.HostPort); err != nil && state != member.Removed {
		return member.Instance{}, &EntryError{path + "hostPort", fmt.Sprintf("%q is no address", c.HostPort), "write host:port"}
	}
	instance := member.Instance{
		ID: c.ID, Addr: c.HostPort, Zone: c.Zone, Kind: c.Kind, Cell: c.Cell, State: state, Weight: c.Weight,
	}
	if c.StartedMillis > 0 && c.StartedMillis < maxStartedMillis {
		instance.Started = time.UnixMicro(int64(c.StartedMillis * 1000))
	}
	return instance, nil
}
