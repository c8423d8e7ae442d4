package fleet

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"go.yaml.in/yaml/v3"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/common/yamlfile"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/rpc"
)

// Config holds the settings of a coordinator.
type Config struct {
	ID            uint64
	Data          string // the folder with the replica's state
	Replicas      []replica.Member
	Listen        string               // "": the address in Replicas; set if other processes reach the coordinator through a proxy or a port mapping
	Join          bool                 // the replica joins an existing group, and begins empty
	MaxTTL        time.Duration        // the longest TTL of a session
	Tick          time.Duration        // the time between two ticks of the replica
	AllowRemote   bool                 // permits addresses that are not loopback addresses
	Drive         bool                 // the coordinator may also drive rollouts
	DriveInterval time.Duration        // the time between two polls of the agents by the driver
	Dial          rpc.Dial             // connects to other coordinators; nil: TCP. Dial and Clock cannot be set in the file
	Clock         func() lease.Instant // nil: monotonic.Now
	MemoryMb      int                  // limit on the memory of the process; 0: none
	Warnings      []string             // valid but inadvisable settings, and deprecated field names; the program logs them
}

// Addr returns the address to listen on.
func (c *Config) Addr() string {
	if c.Listen != "" {
		return c.Listen
	}
	for _, m := range c.Replicas {
		if m.ID == c.ID {
			return m.Addr
		}
	}
	return ""
}

// The defaults of settings.
const (
	DefaultAddr          = "127.0.0.1:7400"
	defaultTick          = 50 * time.Millisecond
	defaultMaxTTL        = time.Minute
	defaultDriveInterval = time.Second
)

// renamedFields has the deprecated field names, each with the current name. They are still accepted; see
// yamlfile.DeprecatedNames.
var renamedFields = map[string]string{
	"drive_every": "drive_interval",
	"longest_ttl": "max_ttl",
}

// SingleConfig returns the settings of a coordinator that is the only replica of its group, which needs no settings file.
func SingleConfig(data, addr string) *Config {
	return &Config{ID: 1, Data: data, Replicas: []replica.Member{{ID: 1, Addr: addr}}, MaxTTL: defaultMaxTTL, Tick: defaultTick,
		MemoryMb: clientlimit.DefaultMemoryMb}
}

// ReadConfig reads a settings file. A relative data folder is resolved against the folder of the file.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := ParseConfig(path, text)
	if err == nil && !filepath.IsAbs(c.Data) {
		c.Data = filepath.Join(filepath.Dir(path), c.Data)
	}
	return c, err
}

// ParseConfig parses the text of a settings file. Every error names the file, line, column and field, and says what to write.
func ParseConfig(file string, text []byte) (*Config, error) {
	top, err := yamlfile.Mapping(file, text, "fields such as id: 1")
	if err != nil {
		return nil, err
	}
	c := &Config{MaxTTL: defaultMaxTTL, Tick: defaultTick, DriveInterval: defaultDriveInterval, MemoryMb: clientlimit.DefaultMemoryMb}
	var deprecated yamlfile.DeprecatedNames
	replicas, err := c.parseFields(file, top, &deprecated)
	if err != nil {
		return nil, err
	}
	if c.Warnings, err = deprecated.Warnings(file); err != nil {
		return nil, err
	}
	switch {
	case c.ID == 0:
		return nil, yamlfile.NewError(file, top, "id", "missing or 0; write a number from 1 on that no other replica has or had")
	case c.MemoryMb < 0:
		return nil, yamlfile.NewError(file, top, "memory_mb", fmt.Sprintf("%d is below 0; write a number of MB, or 0 for no limit", c.MemoryMb))
	case c.Data == "":
		return nil, yamlfile.NewError(file, top, "data", "missing; write the folder for the replica's state")
	case replicas.Kind != yaml.SequenceNode || len(replicas.Content) == 0:
		return nil, yamlfile.NewError(file, top, "replicas", "missing; write a list of id and address")
	}
	if err := c.parseReplicas(file, &replicas); err != nil {
		return nil, err
	}
	if !c.reachable(c.Addr()) {
		return nil, yamlfile.NewError(file, top, "listen", c.Addr()+" is not a loopback address; write allow_remote: true if everyone who can reach it may send requests")
	}
	if n := len(c.Replicas); n%2 == 0 && !c.Join {
		c.Warnings = append(c.Warnings, fmt.Sprintf("%s:%d: replicas: %d tolerate no more failures than %d; an odd number is better", file, replicas.Line, n, n-1))
	}
	return c, nil
}

// reachable reports whether the file permits an address: any loopback address, and others only with allow_remote.
func (c *Config) reachable(address string) bool {
	host, _, _ := net.SplitHostPort(address)
	return c.AllowRemote || yamlfile.Loopback(host)
}

// parseFields reads the fields of the file. It returns the node of the replicas, which are parsed once all other fields are
// known; a zero node means that the file has none.
func (c *Config) parseFields(file string, top *yaml.Node, deprecated *yamlfile.DeprecatedNames) (replicas yaml.Node, err error) {
	err = deprecated.Fields(file, "", top, map[string]yamlfile.Reader{
		"id":             yamlfile.Into(&c.ID, "a number from 1 on"),
		"data":           yamlfile.Into(&c.Data, "a folder"),
		"listen":         yamlfile.IntoAddress(&c.Listen),
		"join":           yamlfile.Into(&c.Join, "true or false"),
		"allow_remote":   yamlfile.Into(&c.AllowRemote, "true or false"),
		"drive":          yamlfile.Into(&c.Drive, "true or false"),
		"drive_interval": yamlfile.IntoDuration(&c.DriveInterval, 50*time.Millisecond, time.Minute),
		"memory_mb":      yamlfile.Into(&c.MemoryMb, "a number of MB, or 0 for no limit"),
		"max_ttl":        yamlfile.IntoDuration(&c.MaxTTL, lease.MinTTL, lease.MaxTTL),
		"tick":           yamlfile.IntoDuration(&c.Tick, 5*time.Millisecond, time.Second),
		"replicas":       yamlfile.Into(&replicas, "a list"),
	}, renamedFields)
	return replicas, err
}

// parseReplicas reads the list of replicas. IDs and addresses must be unique, and this coordinator must be in the list.
func (c *Config) parseReplicas(file string, replicas *yaml.Node) error {
	lineOfID, lineOfAddr := map[uint64]int{}, map[string]int{}
	for i, n := range replicas.Content {
		field := fmt.Sprintf("replicas[%d]", i)
		m, err := parseReplica(file, field, n)
		if err != nil {
			return err
		}
		switch line, duplicate := lineOfID[m.ID]; {
		case m.ID == 0:
			return yamlfile.NewError(file, n, field+".id", "missing or 0; write a number from 1 on")
		case duplicate:
			return yamlfile.NewError(file, n, field+".id", fmt.Sprintf("%d is already used in line %d; each replica needs its own", m.ID, line))
		case m.Addr == "":
			return yamlfile.NewError(file, n, field+".address", "missing; write host:port")
		case lineOfAddr[m.Addr] > 0:
			return yamlfile.NewError(file, n, field+".address", fmt.Sprintf("%s is already used in line %d", m.Addr, lineOfAddr[m.Addr]))
		case !c.reachable(m.Addr):
			return yamlfile.NewError(file, n, field+".address", fmt.Sprintf("%s is not a loopback address; write allow_remote: true if everyone who can reach it may send requests", m.Addr))
		}
		lineOfID[m.ID], lineOfAddr[m.Addr] = n.Line, n.Line
		c.Replicas = append(c.Replicas, m)
	}
	if lineOfID[c.ID] == 0 {
		return yamlfile.NewError(file, replicas, "replicas", fmt.Sprintf("id %d is not in the list", c.ID))
	}
	return nil
}

func parseReplica(file, field string, n *yaml.Node) (m replica.Member, err error) {
	if n.Kind != yaml.MappingNode {
		return m, yamlfile.NewError(file, n, field, "write id and address")
	}
	err = yamlfile.Fields(file, field+".", n, map[string]yamlfile.Reader{
		"id":      yamlfile.Into(&m.ID, "a number from 1 on"),
		"address": yamlfile.IntoAddress(&m.Addr),
	})
	return m, err
}
