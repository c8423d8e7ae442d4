package machine

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"petrelhook/internal/coordination/agent"
)

// Config is the settings of an agent.
type Config struct {
	Application    string
	Listen         string // where drivers and operators reach the agent
	Data           string // the folder for the agent's state and the sidecars' files
	Releases       string // the folder of the store
	Release        string // what a sidecar without state begins with
	Limits         agent.Limits
	ContactTimeout time.Duration // the machine is isolated once no driver called for so long
	PollInterval   time.Duration // between two polls of the processes
	Sidecars       []SidecarConfig

	Coordinators []string // that send versions of the application's configuration; none: there are no versions
	Member       string   // the agent's name at the coordinators

	Host Host // nil: the operating system; no file has it

	Warnings []string // what the file should say otherwise, each with its place; the program logs them
}

// SidecarConfig is the settings of one sidecar of the machine.
type SidecarConfig struct {
	Name, Zone, Listen string
	AdminAddresses     [2]string                  // of the operators' endpoint: one each for the two processes of a change
	Overrides          map[string]json.RawMessage // fields of the release's settings that are this sidecar's own
}

// The defaults.
const (
	DefaultListen         = "127.0.0.1:7500"
	defaultContactTimeout = 5 * time.Second
	defaultPollInterval   = 200 * time.Millisecond
	// defaultVersionTrialPeriod is short: a version has to be in force within seconds of its publication.
	defaultVersionTrialPeriod = 2 * time.Second
)

var defaultLimits = agent.Limits{
	ReadyTimeout:       6 * time.Second,
	TrialPeriod:        10 * time.Second,
	TerminationTimeout: 4 * time.Second,
	IsolationTimeout:   5 * time.Minute,
	InitialBackoff:     time.Second,
	MaxBackoff:         time.Minute,
}

// Read reads the settings in a file. Relative folders are taken from the file's own.
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
