// Package config is what the deployment tells a sidecar: the platform's JSON, read and checked as a whole before
// anything uses it. It starts nothing and looks at nothing but the file. Names that it does not know are skipped: the
// platform adds some from time to time.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"petrelhook/internal/sidecar/member"
	"petrelhook/internal/sidecar/member/discovery"
	"petrelhook/internal/sidecar/wire"
)

// Config is what the deployment tells a sidecar.
type Config struct {
	Name              string
	Listen, Discovery string
	Admin             string // where operators call; "": nowhere
	Limits            Limits
	Known             member.List // the list of servers as last had
	Profile           wire.Profile
	Digest            string // of the text: SHA-256 in hexadecimal
}

// Limits bound the process; 0 is no bound.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Read reads the configuration file at path. What is wrong with its text is an *Error.
func Read(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("the configuration cannot be read: %w", err)
	}
	return Parse(path, raw)
}

// For says why a configuration that is read again is not that of the sidecar with a name; one that names nobody is everybody's. One
// customer's servers must not come to another's clients by a file that was mixed up.
func (c *Config) For(name string) error {
	if c.Name == "" || c.Name == name {
		return nil
	}
	return fmt.Errorf("the configuration is of %q, and this is %q", c.Name, name)
}

// Parse takes in the text of a configuration file; name is what errors call it. An error is an *Error.
func Parse(name string, raw []byte) (Config, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Admin     string          `json:"admin_addr"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	t, sum := text{name, raw}, sha256.Sum256(raw)
	if err := json.Unmarshal(raw, &file); err != nil {
		return Config{}, t.wrap(err, 0, "")
	}
	c := Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Admin: file.Admin, Limits: file.Limits,
		Digest: hex.EncodeToString(sum[:])}
	for _, a := range []struct{ field, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, port, err := net.SplitHostPort(a.addr); err != nil || port == "" {
			return Config{}, t.in(a.field, fmt.Sprintf("%q is no address", a.addr), "write host:port, as 127.0.0.1:8081")
		}
	}
	if problem, remedy := c.admin(); problem != "" {
		return Config{}, t.in("admin_addr", problem, remedy)
	}
	for _, limit := range []struct {
		field string
		is    float64
	}{{"cores", c.Limits.Cores}, {"memory_mb", float64(c.Limits.MemoryMB)}, {"sockets", float64(c.Limits.Sockets)}} {
		if limit.is < 0 {
			return Config{}, t.in("limits."+limit.field, fmt.Sprintf("%v is below 0", limit.is), "0 is no limit")
		}
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return Config{}, t.in("seed", fmt.Sprintf("%q is no seed", file.Seed), "write 1 to 16 hexadecimal digits")
	}
	if len(file.Settings) == 0 {
		return Config{}, t.in("settings", "missing", "write an object with the classes at least")
	}
	if c.Profile, err = wire.ParseProfile(seed, file.Settings); err != nil {
		return Config{}, t.wrap(err, t.start("settings"), "settings")
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if c.Known, err = discovery.Parse(file.Known); err != nil {
			return Config{}, t.wrap(err, t.start("known"), "known")
		}
	}
	return c, nil
}

// admin says what is wrong with the operators' address, and what would be right; "": nothing is.
func (c *Config) admin() (problem, remedy string) {
	if c.Admin == "" {
		return "", ""
	}
	switch _, port, err := net.SplitHostPort(c.Admin); {
	case err != nil || port == "":
		return fmt.Sprintf("%q is no address", c.Admin), "write host:port, as 127.0.0.1:9600"
	case c.Admin == c.Listen && port != "0":
		return fmt.Sprintf("%q is the address of listen", c.Admin), "write another port"
	}
	return "", ""
}

// SetAdmin puts an operators' address in place of the file's; source is what errors call it. "" changes nothing.
func (c *Config) SetAdmin(source, addr string) error {
	if addr == "" {
		return nil
	}
	c.Admin = addr
	if problem, remedy := c.admin(); problem != "" {
		return fmt.Errorf("%s: %s; %s", source, problem, remedy)
	}
	return nil
}
