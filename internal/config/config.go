// Package config is what the deployment tells a sidecar: the platform's JSON, read and checked as a whole before
// anything uses it. It starts nothing and looks at nothing but the file.
package config

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"petrelhook/internal/member"
	"petrelhook/internal/member/discovery"
	"petrelhook/internal/wire"
)

// Config is what the deployment tells a sidecar.
type Config struct {
	Name              string
	Listen, Discovery string
	Limits            Limits
	Known             member.List // the list of servers as last had
	Profile           wire.Profile
}

// Limits bound the process; 0 is no bound.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Read reads the configuration file at path.
func Read(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	return Parse(raw)
}

// Parse takes in the text of a configuration file.
func Parse(raw []byte) (Config, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	c := Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Limits: file.Limits}
	for _, addr := range []string{c.Listen, c.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return c, fmt.Errorf("config: address %q: %w", addr, err)
		}
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return c, fmt.Errorf("config: seed: %w", err)
	}
	if c.Profile, err = wire.ParseProfile(seed, file.Settings); err != nil {
		return c, fmt.Errorf("config: %w", err)
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if c.Known, err = discovery.Parse(file.Known); err != nil {
			return c, fmt.Errorf("config: known: %w", err)
		}
	}
	return c, nil
}
