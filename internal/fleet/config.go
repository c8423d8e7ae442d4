package fleet

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"petrelhook/internal/lease"
	"petrelhook/internal/replica"
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

// Single is the one coordinator of a machine that needs no file.
func Single(data, addr string) *Config {
	return &Config{ID: 1, Data: data, Replicas: []replica.Member{{ID: 1, Addr: addr}}, LongestTTL: defaultLongestTTL, Tick: defaultTick}
}

// Read reads a file.
func Read(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(path, text)
	if err == nil && !filepath.IsAbs(c.Data) {
		c.Data = filepath.Join(filepath.Dir(path), c.Data)
	}
	return c, err
}

// problem is an error at a place of the file.
func problem(file string, n *yaml.Node, field, what string) error {
	return fmt.Errorf("%s:%d:%d: %s: %s", file, n.Line, n.Column, field, what)
}

// Parse reads the text of a file. Every error names file, line, column and field, and says what to write.
func Parse(file string, text []byte) (*Config, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, fmt.Errorf("%s: %s", file, strings.TrimPrefix(err.Error(), "yaml: "))
	}
	if len(doc.Content) == 0 || doc.Content[0].Kind != yaml.MappingNode {
		return nil, fmt.Errorf("%s:1:1: write fields such as id: 1", file)
	}
	c := &Config{LongestTTL: defaultLongestTTL, Tick: defaultTick}
	var replicas *yaml.Node
	err := fields(file, "", doc.Content[0], map[string]func(*yaml.Node) error{
		"id":           func(n *yaml.Node) error { return decode(n, &c.ID, "a number from 1 on") },
		"data":         func(n *yaml.Node) error { return decode(n, &c.Data, "a folder") },
		"listen":       func(n *yaml.Node) error { return address(n, &c.Listen) },
		"join":         func(n *yaml.Node) error { return decode(n, &c.Join, "true or false") },
		"allow_remote": func(n *yaml.Node) error { return decode(n, &c.AllowRemote, "true or false") },
		"longest_ttl":  func(n *yaml.Node) error { return within(n, &c.LongestTTL, lease.MinTTL, lease.MaxTTL) },
		"tick":         func(n *yaml.Node) error { return within(n, &c.Tick, 5*time.Millisecond, time.Second) },
		"replicas":     func(n *yaml.Node) error { replicas = n; return nil },
	})
	if err != nil {
		return nil, err
	}
	top := doc.Content[0]
	switch {
	case c.ID == 0:
		return nil, problem(file, top, "id", "missing or 0; write a number from 1 on, which no other replica has or had")
	case c.Data == "":
		return nil, problem(file, top, "data", "missing; write the folder for what is kept")
	case replicas == nil || replicas.Kind != yaml.SequenceNode || len(replicas.Content) == 0:
		return nil, problem(file, top, "replicas", "missing; write a list of id and address")
	}
	ids, addrs := map[uint64]int{}, map[string]int{}
	for i, n := range replicas.Content {
		m, at := replica.Member{}, fmt.Sprintf("replicas[%d].", i)
		if n.Kind != yaml.MappingNode {
			return nil, problem(file, n, at[:len(at)-1], "write id and address")
		}
		err := fields(file, at, n, map[string]func(*yaml.Node) error{
			"id":      func(n *yaml.Node) error { return decode(n, &m.ID, "a number from 1 on") },
			"address": func(n *yaml.Node) error { return address(n, &m.Addr) },
		})
		if err != nil {
			return nil, err
		}
		host, _, _ := net.SplitHostPort(m.Addr)
		switch line, twice := ids[m.ID]; {
		case m.ID == 0:
			return nil, problem(file, n, at+"id", "missing or 0; write a number from 1 on")
		case twice:
			return nil, problem(file, n, at+"id", fmt.Sprintf("%d is that of line %d; each replica has its own", m.ID, line))
		case m.Addr == "":
			return nil, problem(file, n, at+"address", "missing; write host:port")
		case addrs[m.Addr] > 0:
			return nil, problem(file, n, at+"address", fmt.Sprintf("%s is that of line %d", m.Addr, addrs[m.Addr]))
		case !c.AllowRemote && !loopback(host):
			return nil, problem(file, n, at+"address", fmt.Sprintf("%s is not of loopback; write allow_remote: true where everybody who reaches it may ask", m.Addr))
		}
		ids[m.ID], addrs[m.Addr] = n.Line, n.Line
		c.Replicas = append(c.Replicas, m)
	}
	if ids[c.ID] == 0 {
		return nil, problem(file, replicas, "replicas", fmt.Sprintf("id %d is not among them", c.ID))
	}
	if host, _, _ := net.SplitHostPort(c.Addr()); !c.AllowRemote && !loopback(host) {
		return nil, problem(file, top, "listen", c.Addr()+" is not of loopback; write allow_remote: true where everybody who reaches it may ask")
	}
	if n := len(c.Replicas); n%2 == 0 && !c.Join {
		c.Warnings = append(c.Warnings, fmt.Sprintf("%s:%d: replicas: %d bear no more failures than %d; an odd number is better", file, replicas.Line, n, n-1))
	}
	return c, nil
}

func loopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// fields hands each field of a mapping to its reader.
func fields(file, at string, n *yaml.Node, known map[string]func(*yaml.Node) error) error {
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		name := n.Content[i].Value
		read := known[name]
		if read == nil {
			return problem(file, n.Content[i], at+name, "unknown field; known are "+strings.Join(sorted(known), ", "))
		}
		if seen[name] {
			return problem(file, n.Content[i], at+name, "comes twice")
		}
		seen[name] = true
		if err := read(n.Content[i+1]); err != nil {
			return problem(file, n.Content[i+1], at+name, err.Error())
		}
	}
	return nil
}

func decode(n *yaml.Node, to any, want string) error {
	if n.Decode(to) != nil {
		return fmt.Errorf("%q; write %s", n.Value, want)
	}
	return nil
}

func address(n *yaml.Node, to *string) error {
	if _, _, err := net.SplitHostPort(n.Value); err != nil {
		return fmt.Errorf("%q is no address; write host:port", n.Value)
	}
	*to = n.Value
	return nil
}

func within(n *yaml.Node, d *time.Duration, least, most time.Duration) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil || v < least || v > most {
		return fmt.Errorf("%q; write a time from %v to %v, such as 30s", n.Value, least, most)
	}
	*d = v
	return nil
}
