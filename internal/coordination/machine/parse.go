package machine

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"go.yaml.in/yaml/v3"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/common/yamlfile"
	"petrelhook/internal/coordination/distribute"
)

// Deprecated field names, each with the current name. They are still accepted; see yamlfile.DeprecatedNames.
var (
	renamedLimits = map[string]string{
		"ready":              "ready_timeout",
		"trial":              "trial_period",
		"end":                "termination_timeout",
		"cut_off":            "isolation_timeout",
		"restart_pause":      "initial_restart_backoff",
		"restart_pause_most": "max_restart_backoff",
		"heard":              "contact_timeout",
		"look":               "poll_interval",
	}
	renamedConfigurationFields = map[string]string{"trial": "trial_period"}
	renamedSidecarFields       = map[string]string{"doors": "admin_addresses"}
)

// parser parses one settings file.
type parser struct {
	file        string
	config      *Config
	allowRemote bool

	// Sections, which are parsed after the top-level fields. A zero node means that the file does not have the section.
	limits, sidecars, configuration yaml.Node

	deprecated yamlfile.DeprecatedNames
}

// Parse parses the text of a settings file. Every error names the file, line, column and field, and says what to write.
func Parse(file string, text []byte) (*Config, error) {
	top, err := yamlfile.Mapping(file, text, "fields such as application: permits")
	if err != nil {
		return nil, err
	}
	p := &parser{file: file, config: &Config{Listen: DefaultListen, MemoryMb: clientlimit.DefaultMemoryMb, Limits: defaultLimits, ContactTimeout: defaultContactTimeout,
		PollInterval: defaultPollInterval}}
	if err := p.readTop(top); err != nil {
		return nil, err
	}
	if err := p.checkTop(top); err != nil {
		return nil, err
	}
	if !p.limits.IsZero() {
		if err := p.readLimits(&p.limits); err != nil {
			return nil, err
		}
	}
	if !p.configuration.IsZero() {
		if err := p.readConfiguration(&p.configuration); err != nil {
			return nil, err
		}
	}
	if p.sidecars.IsZero() {
		return nil, p.problem(top, "sidecars", "missing; write a list")
	}
	if err := p.readSidecars(); err != nil {
		return nil, err
	}
	if err := p.checkMember(); err != nil {
		return nil, err
	}
	if p.config.Warnings, err = p.deprecated.Warnings(file); err != nil {
		return nil, err
	}
	return p.config, nil
}

func (p *parser) problem(n *yaml.Node, field, what string) error {
	return yamlfile.NewError(p.file, n, field, what)
}

// maxDuration bounds all durations in the file.
const maxDuration = 24 * time.Hour

func (p *parser) readTop(top *yaml.Node) error {
	c := p.config
	return yamlfile.Fields(p.file, "", top, map[string]yamlfile.Reader{
		"application":  yamlfile.Into(&c.Application, "a name"),
		"listen":       yamlfile.IntoAddress(&c.Listen),
		"allow_remote": yamlfile.Into(&p.allowRemote, "true or false"),
		"data":         yamlfile.Into(&c.Data, "a folder"),
		"releases":     yamlfile.Into(&c.Releases, "a folder"),
		"memory_mb":    yamlfile.Into(&c.MemoryMb, "a number of MB, or 0 for no limit"),
		"release":      yamlfile.Into(&c.Release, "the ID of a release"),

		"limits":        yamlfile.Into(&p.limits, "fields"),
		"sidecars":      yamlfile.Into(&p.sidecars, "a list"),
		"configuration": yamlfile.Into(&p.configuration, "fields"),
	})
}

func (p *parser) checkTop(top *yaml.Node) error {
	c := p.config
	for _, f := range []struct{ name, value, what string }{
		{"application", c.Application, "a name"},
		{"data", c.Data, "the folder for the agent's state"},
		{"releases", c.Releases, "the folder of releases"},
		{"release", c.Release, "the ID of the initial release, as printed by petrelhookctl release add"},
	} {
		if f.value == "" {
			return p.problem(top, f.name, "missing; write "+f.what)
		}
	}
	if c.MemoryMb < 0 {
		return p.problem(top, "memory_mb", fmt.Sprintf("%d is below 0; write a number of MB, or 0 for no limit", c.MemoryMb))
	}
	if !p.reachable(c.Listen) {
		return p.problem(top, "listen", c.Listen+" is not a loopback address; write allow_remote: true if everyone who can reach it may give orders")
	}
	return nil
}

// reachable reports whether the file permits an address: any loopback address, and others only with allow_remote.
func (p *parser) reachable(address string) bool {
	host, _, _ := net.SplitHostPort(address)
	return p.allowRemote || yamlfile.Loopback(host)
}

func (p *parser) readLimits(n *yaml.Node) error {
	if n.Kind != yaml.MappingNode {
		return p.problem(n, "limits", "write fields such as ready_timeout: 6s")
	}
	c := p.config
	return p.deprecated.Fields(p.file, "limits.", n, map[string]yamlfile.Reader{
		"ready_timeout":           yamlfile.IntoDuration(&c.Limits.ReadyTimeout, 100*time.Millisecond, maxDuration),
		"trial_period":            yamlfile.IntoDuration(&c.Limits.TrialPeriod, 0, maxDuration),
		"termination_timeout":     yamlfile.IntoDuration(&c.Limits.TerminationTimeout, 100*time.Millisecond, maxDuration),
		"isolation_timeout":       yamlfile.IntoDuration(&c.Limits.IsolationTimeout, time.Second, maxDuration),
		"initial_restart_backoff": yamlfile.IntoDuration(&c.Limits.InitialBackoff, 10*time.Millisecond, maxDuration),
		"max_restart_backoff":     yamlfile.IntoDuration(&c.Limits.MaxBackoff, 10*time.Millisecond, maxDuration),
		"contact_timeout":         yamlfile.IntoDuration(&c.ContactTimeout, 100*time.Millisecond, maxDuration),
		"poll_interval":           yamlfile.IntoDuration(&c.PollInterval, 10*time.Millisecond, maxDuration),
	}, renamedLimits)
}

// readConfiguration reads the section on the distribution of configuration versions.
func (p *parser) readConfiguration(n *yaml.Node) error {
	const section = "configuration"
	if n.Kind != yaml.MappingNode {
		return p.problem(n, section, `write fields such as coordinators: ["127.0.0.1:7400"]`)
	}
	c := p.config
	c.Limits.VersionTrialPeriod = min(defaultVersionTrialPeriod, c.Limits.TrialPeriod)
	err := p.deprecated.Fields(p.file, section+".", n, map[string]yamlfile.Reader{
		"trial_period": yamlfile.IntoDuration(&c.Limits.VersionTrialPeriod, 10*time.Millisecond, maxDuration),
		"member":       p.readMember,
		"coordinators": p.readCoordinators,
	}, renamedConfigurationFields)
	switch {
	case err != nil:
		return err
	case len(c.Coordinators) == 0:
		return p.problem(n, section+".coordinators", "missing; write the coordinators' addresses")
	}
	if c.Member == "" {
		host, _ := os.Hostname() // without a host name the address alone is the name
		c.Member = host[:min(len(host), distribute.MaxNameBytes/2)] + "/" + c.Listen
	}
	return nil
}

func (p *parser) readMember(n *yaml.Node) error {
	c := p.config
	if err := yamlfile.Decode(n, &c.Member, "a name"); err != nil {
		return err
	}
	if c.Member == "" || len(c.Member) > distribute.MaxNameBytes {
		return fmt.Errorf("%d bytes; write a name of 1 to %d", len(c.Member), distribute.MaxNameBytes)
	}
	return nil
}

func (p *parser) readCoordinators(n *yaml.Node) error {
	if err := yamlfile.Decode(n, &p.config.Coordinators, `a list such as ["127.0.0.1:7400"]`); err != nil {
		return err
	}
	for _, node := range n.Content {
		var address string
		if err := yamlfile.Address(node, &address); err != nil {
			return err
		}
		if !p.reachable(address) {
			return fmt.Errorf("%s is not a loopback address; "+
				"write allow_remote: true if everyone who can reach it may send versions", address)
		}
	}
	return nil
}

// readSidecars reads the list of sidecars. No two may have the same name or address.
func (p *parser) readSidecars() error {
	lines := map[string]int{} // the line of each name and address
	return yamlfile.EachMapping(p.file, "sidecars", &p.sidecars, func(path string, n *yaml.Node) error {
		s, err := p.readSidecar(path, n)
		if err != nil {
			return err
		}
		for _, key := range []string{"name " + s.Name, s.Listen, s.AdminAddresses[0], s.AdminAddresses[1]} {
			if lines[key] != 0 {
				return p.problem(n, path, fmt.Sprintf("%s is already used in line %d", key, lines[key]))
			}
			lines[key] = n.Line
		}
		p.config.Sidecars = append(p.config.Sidecars, s)
		return nil
	})
}

func (p *parser) readSidecar(path string, n *yaml.Node) (s SidecarConfig, err error) {
	var addresses []string
	var overrides map[string]any
	err = p.deprecated.Fields(p.file, path+".", n, map[string]yamlfile.Reader{
		"name":   yamlfile.Into(&s.Name, "a name"),
		"zone":   yamlfile.Into(&s.Zone, "a name"),
		"listen": yamlfile.IntoAddress(&s.Listen),
		"set":    yamlfile.Into(&overrides, "fields of the settings"),
		"admin_addresses": func(n *yaml.Node) (err error) {
			addresses, err = readAdminAddresses(n)
			return err
		},
	}, renamedSidecarFields)
	switch {
	case err != nil:
		return s, err
	case s.Name == "" || s.Name != filepath.Base(s.Name) || s.Name[0] == '.':
		return s, p.problem(n, path+".name", fmt.Sprintf("%q; write a name without slashes that does not begin with a dot", s.Name))
	case s.Listen == "" || addresses == nil:
		return s, p.problem(n, path, "write listen, and two admin_addresses")
	}
	s.AdminAddresses = [2]string(addresses)
	s.Overrides, err = p.readOverrides(path, n, overrides)
	return s, err
}

func readAdminAddresses(n *yaml.Node) (addresses []string, err error) {
	if err := yamlfile.Decode(n, &addresses, "two addresses"); err != nil {
		return nil, err
	}
	for _, node := range n.Content {
		if err := yamlfile.Address(node, new(string)); err != nil {
			return nil, err
		}
	}
	if len(addresses) != 2 {
		return nil, fmt.Errorf("%d addresses; write two: each of the two processes of a handover has one", len(addresses))
	}
	return addresses, nil
}

// readOverrides converts the overrides of a sidecar to JSON. Fields that the agent itself sets are an error.
func (p *parser) readOverrides(path string, n *yaml.Node, fields map[string]any) (map[string]json.RawMessage, error) {
	overrides := map[string]json.RawMessage{}
	for name, value := range fields {
		text, err := json.Marshal(value)
		if err != nil {
			return nil, p.problem(n, path+".set."+name, err.Error())
		}
		overrides[name] = text
	}
	for _, name := range agentFields {
		if overrides[name] != nil {
			return nil, p.problem(n, path+".set."+name, "the agent writes it; leave it out")
		}
	}
	return overrides, nil
}

// checkMember returns an error if the coordinators would reject the agent's watches, for example for a name that is too long.
func (p *parser) checkMember() error {
	if p.configuration.IsZero() {
		return nil
	}
	watch := distribute.Watch{Version: distribute.WireVersion, Service: p.config.Application, Member: p.config.Member}
	for _, s := range p.config.Sidecars {
		watch.Reports = append(watch.Reports, distribute.Report{Sidecar: s.Name})
	}
	if err := watch.Check(); err != nil {
		return p.problem(&p.configuration, "configuration", err.Error())
	}
	return nil
}
