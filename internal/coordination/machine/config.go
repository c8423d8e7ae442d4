package machine

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"petrelhook/internal/coordination/agent"
)

// Config holds the settings of an agent.
type Config struct {
	Application    string
	Listen         string // the address that drivers and operators call
	Data           string // the folder for the agent's state and the sidecars' files
	Releases       string // the folder of the release store
	Release        string // the initial release of a sidecar without persisted state
	Limits         agent.Limits
	ContactTimeout time.Duration // the machine counts as isolated after this time without a call of a driver
	PollInterval   time.Duration // the time between two polls of the processes
	Sidecars       []SidecarConfig

	Coordinators []string // addresses; they send versions of the application's configuration. Empty: no versions are received
	Member       string   // the name that the agent reports to the coordinators

	MemoryMb int // limit on the memory of the agent's process; 0: none

	Host Host // nil: the operating system; it cannot be set in the file

	Warnings []string // deprecated names in the file, each with its position; the program logs them
}

// SidecarConfig holds the settings of one sidecar of the machine.
type SidecarConfig struct {
	Name, Zone, Listen string
	AdminAddresses     [2]string                  // of the operators' endpoint, one for each of the two processes that run during a release change
	Overrides          map[string]json.RawMessage // values that replace fields of the release's settings for this sidecar
}

// The defaults of settings.
const (
	DefaultListen         = "127.0.0.1:7500"
	defaultContactTimeout = 5 * time.Second
	defaultPollInterval   = 200 * time.Millisecond
	// defaultVersionTrialPeriod is short because a version must be in force within seconds of its publication.
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

// Read reads a settings file. Relative folders are resolved against the folder of the file.
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
