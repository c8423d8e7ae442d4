package machine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"petrelhook/internal/common/yamlfile"
	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/distribute"
)

// Config is what an agent is told.
type Config struct {
	Application    string
	Listen         string
	Data           string // the folder for what is kept
	Releases       string // the store
	Release        string // what sidecars begin with for which nothing is kept yet
	Limits         agent.Limits
	ContactTimeout time.Duration // without a driver's word for this long, the machine is cut off
	PollInterval   time.Duration // between two looks at the processes
	Sidecars       []SidecarConfig

	Coordinators []string // that tell versions of the application's configuration; none: nobody does
	Member       string   // the agent's name for them
}

// SidecarConfig is one of the machine's.
type SidecarConfig struct {
	Name, Zone, Listen string
	AdminAddresses     [2]string                  // for operators; two processes of a hand-over have one each
	Overrides          map[string]json.RawMessage // fields of the settings that are this sidecar's own
}

// agentFields are the fields of the settings that an agent writes for each sidecar.
var agentFields = []string{"name", "listen", "admin_addr"}

// The defaults.
const (
	DefaultListen         = "127.0.0.1:7500"
	defaultContactTimeout = 5 * time.Second
	defaultPollInterval   = 200 * time.Millisecond
	// defaultVersionTrialPeriod is the trial of a process with a new version: it has to be in force within seconds of its publication.
	defaultVersionTrialPeriod = 2 * time.Second
)

var defaultLimits = agent.Limits{ReadyTimeout: 6 * time.Second, TrialPeriod: 10 * time.Second, TerminationTimeout: 4 * time.Second, IsolationTimeout: 5 * time.Minute, InitialBackoff: time.Second, MaxBackoff: time.Minute}

// Read reads a file.
func Read(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(path, text)
	if err != nil {
		return nil, err
	}
	for _, dir := range []*string{&c.Data, &c.Releases} {
		if !filepath.IsAbs(*dir) {
			*dir = filepath.Join(filepath.Dir(path), *dir)
		}
		if *dir, err = filepath.Abs(*dir); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// Parse reads the text of a file. Every error names file, line, column and field, and says what to write.
func Parse(file string, text []byte) (*Config, error) {
	top, err := yamlfile.Mapping(file, text, "fields such as application: permits")
	if err != nil {
		return nil, err
	}
	c := &Config{Listen: DefaultListen, Limits: defaultLimits, ContactTimeout: defaultContactTimeout, PollInterval: defaultPollInterval}
	remote := false
	var sidecars, limits, configuration *yaml.Node
	text1 := func(to *string, what string) func(*yaml.Node) error {
		return func(n *yaml.Node) error { return yamlfile.Decode(n, to, what) }
	}
	err = yamlfile.Fields(file, "", top, map[string]func(*yaml.Node) error{
		"application":  text1(&c.Application, "a name"),
		"listen":       func(n *yaml.Node) error { return yamlfile.Address(n, &c.Listen) },
		"allow_remote": func(n *yaml.Node) error { return yamlfile.Decode(n, &remote, "true or false") },
		"data":         text1(&c.Data, "a folder"),
		"releases":     text1(&c.Releases, "a folder"),
		"release":      text1(&c.Release, "the name of a release"),
		"limits":       func(n *yaml.Node) error { limits = n; return nil },
		"sidecars":     func(n *yaml.Node) error { sidecars = n; return nil },

		"configuration": func(n *yaml.Node) error { configuration = n; return nil },
	})
	if err != nil {
		return nil, err
	}
	for _, f := range []struct{ name, value, what string }{{"application", c.Application, "a name"}, {"data", c.Data, "the folder for what is kept"},
		{"releases", c.Releases, "the folder of releases"}, {"release", c.Release, "the release to begin with, as petrelhookctl release add names it"}} {
		if f.value == "" {
			return nil, yamlfile.Problem(file, top, f.name, "missing; write "+f.what)
		}
	}
	if host, _, _ := net.SplitHostPort(c.Listen); !remote && !yamlfile.Loopback(host) {
		return nil, yamlfile.Problem(file, top, "listen", c.Listen+" is not of loopback; write allow_remote: true where everybody who reaches it may give orders")
	}
	if limits != nil {
		if err := c.parseLimits(file, limits); err != nil {
			return nil, err
		}
	}
	if configuration != nil {
		if err := c.parseConfiguration(file, configuration, remote); err != nil {
			return nil, err
		}
	}
	if sidecars == nil {
		return nil, yamlfile.Problem(file, top, "sidecars", "missing; write a list")
	}
	lines := map[string]int{}
	err = yamlfile.Each(file, "sidecars", sidecars, func(at string, n *yaml.Node) error {
		s, err := parseSidecar(file, at, n)
		if err != nil {
			return err
		}
		for _, own := range []string{"name " + s.Name, s.Listen, s.AdminAddresses[0], s.AdminAddresses[1]} {
			if lines[own] != 0 {
				return yamlfile.Problem(file, n, at, fmt.Sprintf("%s is in line %d already", own, lines[own]))
			}
			lines[own] = n.Line
		}
		c.Sidecars = append(c.Sidecars, s)
		return nil
	})
	if err == nil && configuration != nil { // what coordinators would refuse
		w := distribute.Watch{Version: distribute.WireVersion, Service: c.Application, Member: c.Member}
		for _, s := range c.Sidecars {
			w.Reports = append(w.Reports, distribute.Report{Sidecar: s.Name})
		}
		if err := w.Check(); err != nil {
			return nil, yamlfile.Problem(file, configuration, "configuration", err.Error())
		}
	}
	return c, err
}

func (c *Config) parseLimits(file string, n *yaml.Node) error {
	if n.Kind != yaml.MappingNode {
		return yamlfile.Problem(file, n, "limits", "write fields such as ready: 6s")
	}
	time1 := func(d *time.Duration, least time.Duration) func(*yaml.Node) error {
		return func(n *yaml.Node) error { return yamlfile.Within(n, d, least, 24*time.Hour) }
	}
	return yamlfile.Fields(file, "limits.", n, map[string]func(*yaml.Node) error{
		"ready": time1(&c.Limits.ReadyTimeout, 100*time.Millisecond), "trial": time1(&c.Limits.TrialPeriod, 0), "end": time1(&c.Limits.TerminationTimeout, 100*time.Millisecond),
		"cut_off": time1(&c.Limits.IsolationTimeout, time.Second), "restart_pause": time1(&c.Limits.InitialBackoff, 10*time.Millisecond),
		"restart_pause_most": time1(&c.Limits.MaxBackoff, 10*time.Millisecond), "heard": time1(&c.ContactTimeout, 100*time.Millisecond),
		"look": time1(&c.PollInterval, 10*time.Millisecond),
	})
}

// parseConfiguration reads who tells versions of the configuration.
func (c *Config) parseConfiguration(file string, n *yaml.Node, remote bool) error {
	const at = "configuration"
	if n.Kind != yaml.MappingNode {
		return yamlfile.Problem(file, n, at, `write fields such as coordinators: ["127.0.0.1:7400"]`)
	}
	c.Limits.VersionTrialPeriod = min(defaultVersionTrialPeriod, c.Limits.TrialPeriod)
	err := yamlfile.Fields(file, at+".", n, map[string]func(*yaml.Node) error{
		"trial": func(n *yaml.Node) error {
			return yamlfile.Within(n, &c.Limits.VersionTrialPeriod, 10*time.Millisecond, 24*time.Hour)
		},
		"member": func(n *yaml.Node) error {
			err := yamlfile.Decode(n, &c.Member, "a name")
			if err == nil && (c.Member == "" || len(c.Member) > distribute.MaxName) {
				err = fmt.Errorf("%d bytes; write a name of 1 to %d", len(c.Member), distribute.MaxName)
			}
			return err
		},
		"coordinators": func(n *yaml.Node) error {
			if err := yamlfile.Decode(n, &c.Coordinators, `a list such as ["127.0.0.1:7400"]`); err != nil {
				return err
			}
			for _, one := range n.Content {
				var addr string
				if err := yamlfile.Address(one, &addr); err != nil {
					return err
				}
				if host, _, _ := net.SplitHostPort(addr); !remote && !yamlfile.Loopback(host) {
					return fmt.Errorf("%s is not of loopback; "+
						"write allow_remote: true where everybody who reaches it may give versions", addr)
				}
			}
			return nil
		},
	})
	if err == nil && len(c.Coordinators) == 0 {
		err = yamlfile.Problem(file, n, at+".coordinators", "missing; write the coordinators' addresses")
	}
	if err == nil && c.Member == "" {
		host, _ := os.Hostname() // "": the address is all there is
		c.Member = host[:min(len(host), distribute.MaxName/2)] + "/" + c.Listen
	}
	return err
}

func parseSidecar(file, at string, n *yaml.Node) (s SidecarConfig, err error) {
	var doors []string
	var set map[string]any
	err = yamlfile.Fields(file, at+".", n, map[string]func(*yaml.Node) error{
		"name":   func(n *yaml.Node) error { return yamlfile.Decode(n, &s.Name, "a name") },
		"zone":   func(n *yaml.Node) error { return yamlfile.Decode(n, &s.Zone, "a name") },
		"listen": func(n *yaml.Node) error { return yamlfile.Address(n, &s.Listen) },
		"doors": func(n *yaml.Node) error {
			if err := yamlfile.Decode(n, &doors, "two addresses"); err != nil {
				return err
			}
			for _, one := range n.Content {
				if err := yamlfile.Address(one, new(string)); err != nil {
					return err
				}
			}
			if len(doors) != 2 {
				return fmt.Errorf("%d addresses; write two: both processes of a hand-over have one", len(doors))
			}
			return nil
		},
		"set": func(n *yaml.Node) error { return yamlfile.Decode(n, &set, "fields of the settings") },
	})
	switch {
	case err != nil:
		return s, err
	case s.Name == "" || s.Name != filepath.Base(s.Name) || s.Name[0] == '.':
		return s, yamlfile.Problem(file, n, at+".name", fmt.Sprintf("%q; write a name without slashes that begins with no dot", s.Name))
	case s.Listen == "" || doors == nil:
		return s, yamlfile.Problem(file, n, at, "write listen, and two doors")
	}
	s.AdminAddresses, s.Overrides = [2]string(doors), map[string]json.RawMessage{}
	for name, v := range set {
		text, err := json.Marshal(v)
		if err != nil {
			return s, yamlfile.Problem(file, n, at+".set."+name, err.Error())
		}
		s.Overrides[name] = text
	}
	for _, name := range agentFields {
		if s.Overrides[name] != nil {
			return s, yamlfile.Problem(file, n, at+".set."+name, "the agent writes it; leave it out")
		}
	}
	return s, nil
}

// settings are a release's for one sidecar, with a version's over them; nil: there is none. The sidecar's own come
// last. A name in Set may go into fields by dots: settings.my_number.
func (s *SidecarConfig) settings(release, version []byte) ([]byte, error) {
	fields, over := map[string]any{}, map[string]any{}
	if err := decodeFields(release, &fields); err != nil {
		return nil, fmt.Errorf("the settings of the release: %w", err)
	}
	if version != nil {
		if err := decodeFields(version, &over); err != nil {
			return nil, fmt.Errorf("the version of the configuration: %w", err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(over)) {
		setField(fields, name, over[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Overrides)) {
		at, parts := fields, strings.Split(name, ".")
		for _, part := range parts[:len(parts)-1] {
			in, ok := at[part].(map[string]any)
			if !ok {
				return nil, fmt.Errorf("set.%s: the settings of the release have no fields in %s", name, part)
			}
			at = in
		}
		setField(at, parts[len(parts)-1], s.Overrides[name])
	}
	maps.DeleteFunc(fields, func(name string, _ any) bool {
		return slices.ContainsFunc(agentFields, func(o string) bool { return strings.EqualFold(o, name) })
	})
	fields["name"], fields["listen"] = s.Name, s.Listen
	return json.Marshal(fields)
}

func decodeFields(text []byte, to *map[string]any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	return d.Decode(to)
}

// setField sets a field. One of the same letters in another case is the same to whoever reads the text with package json:
// it is set.
func setField(fields map[string]any, name string, v any) {
	same := slices.Sorted(func(yield func(string) bool) {
		for other := range fields {
			if strings.EqualFold(other, name) && !yield(other) {
				return
			}
		}
	})
	for _, other := range same {
		name = other
		delete(fields, other)
	}
	fields[name] = v
}

// differingFields are the top fields of two settings of one sidecar that are not the same.
func differingFields(a, b []byte) (all []string, err error) {
	var one, other map[string]json.RawMessage
	if err := errors.Join(json.Unmarshal(a, &one), json.Unmarshal(b, &other)); err != nil {
		return nil, err
	}
	for name, v := range one {
		if !bytes.Equal(v, other[name]) { // both were written by settings: equal values are equal texts
			all = append(all, name)
		}
		delete(other, name)
	}
	return append(all, slices.Collect(maps.Keys(other))...), nil
}
