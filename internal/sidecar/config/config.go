// Package config reads a sidecar's configuration, which is a JSON file of the platform, and checks it completely before it is
// used. It starts no goroutine and opens only that file. Unknown keys are ignored, because the platform adds some from time to
// time. An invalid file is reported as an *Error with line, column and field. Functions may be called from any goroutine.
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

// Config is the configuration of one sidecar.
type Config struct {
	Name              string // name of the sidecar; "": the file is valid for any sidecar
	Listen, Discovery string // addresses, host:port
	Admin             string // the operators' address; "": none
	Limits            Limits
	KnownServers      member.List // the last known list of servers, for the start
	Profile           wire.Profile
	Digest            string // SHA-256 of the text, in hexadecimal
}

// Limits bound the resources of the process; 0 means no limit.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"` // MiB
	Sockets  int     `json:"sockets"`   // open file descriptors
}

// Read reads the configuration file at path. It returns an *Error if the text is not valid.
func Read(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("the configuration cannot be read: %w", err)
	}
	return Parse(path, raw)
}

// CheckName returns a *NameError if a reloaded configuration belongs to another sidecar than name. A configuration without a name
// belongs to any. The check keeps a mixed-up file from sending one customer's clients to another customer's servers.
func (c *Config) CheckName(name string) error {
	if c.Name == "" || c.Name == name {
		return nil
	}
	return &NameError{InFile: c.Name, Running: name}
}

// NameError is the error of a configuration that belongs to another sidecar.
type NameError struct{ InFile, Running string }

func (e *NameError) Error() string {
	return fmt.Sprintf("the configuration belongs to sidecar %q, but this is sidecar %q", e.InFile, e.Running)
}

// Parse parses the text of a configuration file; name is the file's name in errors. Every error is an *Error.
func Parse(name string, raw []byte) (Config, error) {
	var file struct {
		Name         string          `json:"name"`
		Listen       string          `json:"listen"`
		Discovery    string          `json:"discovery"`
		Admin        string          `json:"admin_addr"`
		Seed         string          `json:"seed"`
		Limits       Limits          `json:"limits"`
		KnownServers json.RawMessage `json:"known"`
		Settings     json.RawMessage `json:"settings"`
	}
	text, digest := source{name, raw}, sha256.Sum256(raw)
	if err := json.Unmarshal(raw, &file); err != nil {
		return Config{}, text.wrap(err, 0, "")
	}
	c := Config{
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Admin: file.Admin, Limits: file.Limits,
		Digest: hex.EncodeToString(digest[:]),
	}
	if err := c.checkAddresses(text); err != nil {
		return Config{}, err
	}
	if err := c.Limits.check(text); err != nil {
		return Config{}, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return Config{}, text.errorIn("seed", fmt.Sprintf("%q is not a seed", file.Seed), "write 1 to 16 hexadecimal digits")
	}
	if len(file.Settings) == 0 {
		return Config{}, text.errorIn("settings", "missing", "write an object with the classes at least")
	}
	if c.Profile, err = wire.ParseProfile(seed, file.Settings); err != nil {
		return Config{}, text.wrap(err, text.startOf("settings"), "settings")
	}
	if len(file.KnownServers) > 0 && string(file.KnownServers) != "null" {
		if c.KnownServers, err = discovery.Parse(file.KnownServers); err != nil {
			return Config{}, text.wrap(err, text.startOf("known"), "known")
		}
	}
	return c, nil
}

// checkAddresses checks that all addresses have the form host:port and that the admin address differs from the listening address.
func (c *Config) checkAddresses(text source) error {
	for _, address := range []struct{ field, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, port, err := net.SplitHostPort(address.value); err != nil || port == "" {
			return text.errorIn(address.field, fmt.Sprintf("%q is no address", address.value), "write host:port, as 127.0.0.1:8081")
		}
	}
	if problem, remedy := c.checkAdmin(); problem != "" {
		return text.errorIn("admin_addr", problem, remedy)
	}
	return nil
}

// checkAdmin returns what is wrong with the operators' address and what to write instead. Both are "" if the address is valid.
func (c *Config) checkAdmin() (problem, remedy string) {
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

// SetAdmin replaces the operators' address from the file by addr, unless addr is "". origin names the source of addr in errors.
func (c *Config) SetAdmin(origin, addr string) error {
	if addr == "" {
		return nil
	}
	c.Admin = addr
	if problem, remedy := c.checkAdmin(); problem != "" {
		return fmt.Errorf("%s: %s; %s", origin, problem, remedy)
	}
	return nil
}
