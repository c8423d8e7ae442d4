package fleet

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"go.yaml.in/yaml/v3"

	"petrelhook/internal/common/yamlfile"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
)

// Config is what a coordinator is told.
type Config struct {
	ID          uint64
	Data        string // the folder that holds its replica
	Replicas    []replica.Member
	Listen      string        // "": the address among the replicas; another one where others reach it by way of something
	Join        bool          // it is added to a group that exists: it waits to be told
	LongestTTL  time.Duration // that a session may have
	Tick        time.Duration
	AllowRemote bool
	Drive       bool // it may drive rolling changes too
	DriveEvery  time.Duration
	Warnings    []string
}

// Addr is where it listens.
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

// The defaults.
const (
	DefaultAddr       = "127.0.0.1:7400"
	defaultTick       = 50 * time.Millisecond
	defaultLongestTTL = time.Minute
)

// SingleConfig is the one coordinator of a machine that needs no file.
func SingleConfig(data, addr string) *Config {
	return &Config{ID: 1, Data: data, Replicas: []replica.Member{{ID: 1, Addr: addr}}, LongestTTL: defaultLongestTTL, Tick: defaultTick}
}

// ReadConfig reads a file.
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

// ParseConfig reads the text of a file. Every error names file, line, column and field, and says what to write.
func ParseConfig(file string, text []byte) (*Config, error) {
	top, err := yamlfile.Mapping(file, text, "fields such as id: 1")
	if err != nil {
		return nil, err
	}
	c := &Config{LongestTTL: defaultLongestTTL, Tick: defaultTick, DriveEvery: time.Second}
	var replicas *yaml.Node
	err = yamlfile.Fields(file, "", top, map[string]func(*yaml.Node) error{
		"id":           func(n *yaml.Node) error { return yamlfile.Decode(n, &c.ID, "a number from 1 on") },
		"data":         func(n *yaml.Node) error { return yamlfile.Decode(n, &c.Data, "a folder") },
		"listen":       func(n *yaml.Node) error { return yamlfile.Address(n, &c.Listen) },
		"join":         func(n *yaml.Node) error { return yamlfile.Decode(n, &c.Join, "true or false") },
		"allow_remote": func(n *yaml.Node) error { return yamlfile.Decode(n, &c.AllowRemote, "true or false") },
		"drive":        func(n *yaml.Node) error { return yamlfile.Decode(n, &c.Drive, "true or false") },
		"drive_every":  func(n *yaml.Node) error { return yamlfile.Within(n, &c.DriveEvery, 50*time.Millisecond, time.Minute) },
		"longest_ttl":  func(n *yaml.Node) error { return yamlfile.Within(n, &c.LongestTTL, lease.MinTTL, lease.MaxTTL) },
		"tick":         func(n *yaml.Node) error { return yamlfile.Within(n, &c.Tick, 5*time.Millisecond, time.Second) },
		"replicas":     func(n *yaml.Node) error { replicas = n; return nil },
	})
	if err != nil {
		return nil, err
	}
	switch {
	case c.ID == 0:
		return nil, yamlfile.Problem(file, top, "id", "missing or 0; write a number from 1 on, which no other replica has or had")
	case c.Data == "":
		return nil, yamlfile.Problem(file, top, "data", "missing; write the folder for what is kept")
	case replicas == nil || replicas.Kind != yaml.SequenceNode || len(replicas.Content) == 0:
		return nil, yamlfile.Problem(file, top, "replicas", "missing; write a list of id and address")
	}
	ids, addrs := map[uint64]int{}, map[string]int{}
	for i, n := range replicas.Content {
		m, at := replica.Member{}, fmt.Sprintf("replicas[%d].", i)
		if n.Kind != yaml.MappingNode {
			return nil, yamlfile.Problem(file, n, at[:len(at)-1], "write id and address")
		}
		err := yamlfile.Fields(file, at, n, map[string]func(*yaml.Node) error{
			"id":      func(n *yaml.Node) error { return yamlfile.Decode(n, &m.ID, "a number from 1 on") },
			"address": func(n *yaml.Node) error { return yamlfile.Address(n, &m.Addr) },
		})
		if err != nil {
			return nil, err
		}
		host, _, _ := net.SplitHostPort(m.Addr)
		switch line, twice := ids[m.ID]; {
		case m.ID == 0:
			return nil, yamlfile.Problem(file, n, at+"id", "missing or 0; write a number from 1 on")
		case twice:
			return nil, yamlfile.Problem(file, n, at+"id", fmt.Sprintf("%d is that of line %d; each replica has its own", m.ID, line))
		case m.Addr == "":
			return nil, yamlfile.Problem(file, n, at+"address", "missing; write host:port")
		case addrs[m.Addr] > 0:
			return nil, yamlfile.Problem(file, n, at+"address", fmt.Sprintf("%s is that of line %d", m.Addr, addrs[m.Addr]))
		case !c.AllowRemote && !yamlfile.Loopback(host):
			return nil, yamlfile.Problem(file, n, at+"address", fmt.Sprintf("%s is not of loopback; write allow_remote: true where everybody who reaches it may ask", m.Addr))
		}
		ids[m.ID], addrs[m.Addr] = n.Line, n.Line
		c.Replicas = append(c.Replicas, m)
	}
	if ids[c.ID] == 0 {
		return nil, yamlfile.Problem(file, replicas, "replicas", fmt.Sprintf("id %d is not among them", c.ID))
	}
	if host, _, _ := net.SplitHostPort(c.Addr()); !c.AllowRemote && !yamlfile.Loopback(host) {
		return nil, yamlfile.Problem(file, top, "listen", c.Addr()+" is not of loopback; write allow_remote: true where everybody who reaches it may ask")
	}
	if n := len(c.Replicas); n%2 == 0 && !c.Join {
		c.Warnings = append(c.Warnings, fmt.Sprintf("%s:%d: replicas: %d bear no more failures than %d; an odd number is better", file, replicas.Line, n, n-1))
	}
	return c, nil
}
