// Package settings reads the settings file of one router (its identity, listen addresses and limits, and the bounds of
// the rules that it must keep) and the deploy file of the fleet.
//
// The Go fields have the names of the fields in the files, and errors use the same names. Unknown fields are ignored,
// because newer files may contain new ones. An unusable file gives one error that names the file and the field; nothing
// is started with it.
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

// ErrInvalid marks the error of a file that can be read but is invalid. Check for it with errors.Is of
// github.com/cockroachdb/errors; the standard library does not find marks.
var ErrInvalid = errors.New("invalid settings")

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "PETRELHOOK_SETTINGS"

// Listen holds the addresses that a router listens on, as HOST:PORT. A service with an empty address is not started.
type Listen struct {
	Front   string `validate:"omitempty,hostname_port"` // clients
	Ready   string `validate:"omitempty,hostname_port"` // readiness checks of the platform
	Control string `validate:"omitempty,hostname_port"` // model servers and operators; all routers use the same port
}

// Limits holds the resources of the machine that are available to the router; 0 means unknown. A router uses only
// MemoryMb.
type Limits struct {
	CpuShare float64 `validate:"gte=0"`
	Cores    int     `validate:"gte=0"`
	MemoryMb int     `validate:"gte=0"`
	MaxFds   int     `validate:"gte=0"`
	LinkMbps float64 `validate:"gte=0"`
	DiskMb   int     `validate:"gte=0"`
}

// FaultTolerance is how many machines, zones and regions may fail at the same time without violating a rule. A router
// uses only Machines.
type FaultTolerance struct {
	Machines int `validate:"gte=0"`
	Zones    int `validate:"gte=0"`
	Regions  int `validate:"gte=0"`
}

// Bounds holds the parameters of the rules in force, in the units of their suffixes: S for seconds, Ms for
// milliseconds. A router uses GraceS (from SIGTERM to the end of the process), the three parameters of the retry budget
// (quota.RetryBounds), the three of quotas (quota.Bounds) and AgainS (gateway.Options.PrefixTTL); the others are read
// but not used.
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

// Settings is one router's settings file. Role, MachineClass, Serves and Contracts are read but not used.
type Settings struct {
	NodeName          string `validate:"required"` // name of the machine, shown in the status
	Role              string
	MachineClass      string
	Serves            []string
	Ip                string   `validate:"required,ip"` // address of this machine
	Zone              string   `validate:"required"`
	Region            string   // of Zone
	InternalPortRange []int    `validate:"len=2,dive,gte=1,lte=65535"` // first, last; the first is the internal port of all routers
	Seeds             []string `validate:"dive,hostname_port"`         // HOST:PORT of routers to contact first at a start; ports are ignored
	Bootstrap         bool     // true on the first start of the whole system
	CountsForQuorum   bool     // the router can be a core member if DataDir is set too
	DataDir           string   // folder for the state of a core member
	HeartbeatMs       float64  `validate:"gt=0"` // interval between heartbeats of a server; default 1000
	Contracts         []string
	Zones             map[string]string // region of each zone, keyed by zone
	Listen            Listen
	Limits            Limits
	FaultTolerance    FaultTolerance
	Bounds            Bounds
}

// Load reads and validates a settings file. Its error names the file; if the file can be read but is invalid, the error
// is marked with ErrInvalid and also names the field or the position.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, err := Parse(text)
	return s, errors.Wrapf(err, "settings file %s", path)
}

// Parse reads and validates the text of a settings file. Its error is marked with ErrInvalid and names the field or the
// position.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{HeartbeatMs: 1000}
	if err := decode(text, s); err != nil {
		return nil, err
	}
	if s.InternalPortRange[0] > s.InternalPortRange[1] {
		return nil, invalid("field InternalPortRange: the first port, %d, is above the last one, %d", s.InternalPortRange[0], s.InternalPortRange[1])
	}
	if err := s.checkAddresses(); err != nil {
		return nil, err
	}
	return s, nil
}

// checkAddresses returns an error if two services have the same address: a start would wait for it for ever.
func (s *Settings) checkAddresses() error {
	fieldOf := map[string]string{s.InternalAddress(): "InternalPortRange"}
	for _, service := range []struct{ field, address string }{
		{"Listen.Front", s.Listen.Front}, {"Listen.Ready", s.Listen.Ready}, {"Listen.Control", s.Listen.Control},
	} {
		if service.address == "" {
			continue
		}
		if other, taken := fieldOf[service.address]; taken {
			return invalid("field %s: %s is the address of %s already", service.field, service.address, other)
		}
		fieldOf[service.address] = service.field
	}
	return nil
}

// decode reads TOML and validates it by the tags of the fields. Its error names the position or the field.
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

// invalid returns an error that is marked with ErrInvalid.
func invalid(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrInvalid)
}

// InternalAddress returns the address on which this router listens for other routers.
func (s *Settings) InternalAddress() string { return s.InternalAddressOf(s.Ip) }

// InternalAddressOf returns the internal address of the router with an IP address. All routers use the same internal
// port.
func (s *Settings) InternalAddressOf(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InternalPortRange[0]))
}

// SeedAddresses returns the internal addresses of the seeds.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, s.InternalAddressOf(ip))
		}
	}
	return addresses
}

// ControlAddressOf returns the control address of the router with an internal address, or "" if the routers have none.
func (s *Settings) ControlAddressOf(internal string) string {
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

// CanJoinCore reports whether this router can be a core member.
func (s *Settings) CanJoinCore() bool { return s.CountsForQuorum && s.DataDir != "" }

// Milliseconds converts a setting in milliseconds to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts a setting in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
