// Package settings reads the settings file of one router (who it is, where it listens, its limits, and the bounds of
// the rules that it has to keep) and the deploy file of the fleet.
//
// Go fields have the names of the files' fields, which errors name too. Fields that are not known are ignored, since
// new ones may appear. A file that cannot be used gives one error that names the file and the field; nothing is started
// from it.
package settings

import (
	"bytes"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
)

// ErrInvalid marks the error of a file that can be read and not be used. As a mark it is found by Is of
// github.com/cockroachdb/errors, not by that of the standard library.
var ErrInvalid = errors.New("invalid settings")

// Variable is the environment variable that holds the path of the settings file.
const Variable = "PETRELHOOK_SETTINGS"

// Listen is the addresses of what a router serves, HOST:PORT; an empty one is not served.
type Listen struct {
	Front   string `validate:"omitempty,hostname_port"` // clients
	Ready   string `validate:"omitempty,hostname_port"` // the platform, which asks whether the router is ready
	Control string `validate:"omitempty,hostname_port"` // model servers and operators; its port is alike at all routers
}

// Limits is what the machine offers the router; 0 is not known. A router uses MemoryMb alone.
type Limits struct {
	CpuShare float64 `validate:"gte=0"`
	Cores    int     `validate:"gte=0"`
	MemoryMb int     `validate:"gte=0"`
	MaxFds   int     `validate:"gte=0"`
	LinkMbps float64 `validate:"gte=0"`
	DiskMb   int     `validate:"gte=0"`
}

// FaultTolerance is how much may be lost at the same time while all rules are kept. A router uses Machines alone.
type FaultTolerance struct {
	Machines int `validate:"gte=0"`
	Zones    int `validate:"gte=0"`
	Regions  int `validate:"gte=0"`
}

// Bounds are the figures of the rules in force, in the units that the names end in: S seconds, Ms milliseconds. A router
// uses GraceS (from SIGTERM to the end of the process), the three of the retry budget (quota.RetryBounds), the three of
// quotas (quota.Bounds) and AgainS (gateway.Options.PrefixTTL); the others are read and not used.
type Bounds struct {
	SeedLagS         float64 `validate:"gte=0"`
	ReuseAfterS      float64 `validate:"gte=0"`
	ContactMs        float64 `validate:"gte=0"`
	AckMs            float64 `validate:"gte=0"`
	CatchUpS         float64 `validate:"gte=0"`
	DrainMs          float64 `validate:"gte=0"`
	GraceS           float64 `validate:"gte=0"`
	LossSlackMs      float64 `validate:"gte=0"`
	ConfigMs         float64 `validate:"gte=0"`
	RollbackSlackMs  float64 `validate:"gte=0"`
	OuterMs          float64 `validate:"gte=0"`
	RetryBudgetRatio float64 `validate:"gte=0"`
	BudgetWindowS    float64 `validate:"gte=0"`
	RetryBudgetSlack float64 `validate:"gte=0"`
	QuotaWindowS     float64 `validate:"gte=0"`
	QuotaOvershoot   float64 `validate:"gte=0"`
	QuotaSlack       float64 `validate:"gte=0"`
	RecoveryS        float64 `validate:"gte=0"`
	PassMs           float64 `toml:"pass_ms" validate:"gte=0"`
	AgainS           float64 `toml:"again_s" validate:"gte=0"`
}

// Settings is one router's settings file. Role, MachineClass, Serves and Contracts are read and not used.
type Settings struct {
	NodeName          string `validate:"required"` // name of the machine, for the status
	Role              string
	MachineClass      string
	Serves            []string
	Ip                string   `validate:"required,ip"` // of this machine
	Zone              string   `validate:"required"`
	Region            string   // of Zone
	InternalPortRange []int    `validate:"len=2,dive,gte=1,lte=65535"` // the first one is the internal port of every router
	Seeds             []string `validate:"dive,hostname_port"`         // HOST:PORT of routers that a start contacts first; the ports are not used
	Bootstrap         bool     // this is the first start of the whole system
	CountsForQuorum   bool     // the router can be a core member, if it has a DataDir
	DataDir           string   // folder of a core member's state
	HeartbeatMs       float64  `validate:"gt=0"` // between two heartbeats of a server; 1000 where it is left out
	Contracts         []string
	Zones             map[string]string // the region of each zone, by zone
	Listen            Listen
	Limits            Limits
	FaultTolerance    FaultTolerance
	Bounds            Bounds
}

// Load reads and checks a settings file. Its error names the file; it is an ErrInvalid, which also names the field or
// the position, where the file can be read and not be used.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, err := Parse(text)
	return s, errors.Wrapf(err, "settings file %s", path)
}

// Parse reads and checks the text of a settings file. Its error is an ErrInvalid that names the field or the position.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{HeartbeatMs: 1000}
	if err := decode(text, s); err != nil {
		return nil, err
	}
	if s.InternalPortRange[0] > s.InternalPortRange[1] {
		return nil, invalid("field InternalPortRange: %d is above %d", s.InternalPortRange[0], s.InternalPortRange[1])
	}
	return s, nil
}

// decode reads TOML and checks the bounds in the tags of the fields. The error gives the position or the field.
func decode(text []byte, into any) error {
	if err := toml.NewDecoder(bytes.NewReader(text)).Decode(into); err != nil {
		var syntax *toml.DecodeError
		if errors.As(err, &syntax) {
			line, column := syntax.Position()
			return invalid("line %d, column %d: %s", line, column, syntax.Error())
		}
		return errors.Mark(err, ErrInvalid)
	}
	err := validator.New().Struct(into)
	var fields validator.ValidationErrors
	if errors.As(err, &fields) && len(fields) > 0 {
		first := fields[0]
		return invalid("field %s: %v does not satisfy %s %s", first.Namespace(), first.Value(), first.Tag(), first.Param())
	}
	return err
}

// invalid returns an ErrInvalid.
func invalid(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrInvalid)
}

// InternalAddress returns the address at which this router listens for others.
func (s *Settings) InternalAddress() string { return s.InternalOf(s.Ip) }

// InternalOf returns the internal address of the router at an IP address: ports are alike on all machines.
func (s *Settings) InternalOf(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InternalPortRange[0]))
}

// SeedAddresses returns the internal addresses of the seeds.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, s.InternalOf(ip))
		}
	}
	return addresses
}

// ControlOf returns the control address of the router with an internal address, or "" where there is none.
func (s *Settings) ControlOf(internal string) string {
	ip, _, err := net.SplitHostPort(internal)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(s.Listen.Control)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(ip, port)
}

// Core reports whether this router can be a core member.
func (s *Settings) Core() bool { return s.CountsForQuorum && s.DataDir != "" }

// Milliseconds converts a figure of the settings to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts a figure of the settings to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
