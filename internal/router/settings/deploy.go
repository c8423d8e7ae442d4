package settings

import (
	"os"
	"sort"

	"github.com/cockroachdb/errors"
)

// Deploy is a deploy file: how to build the system, and which role runs on which machines.
type Deploy struct {
	Build    string          `toml:"build" validate:"required"`
	Packages []string        `toml:"packages"`
	Roles    map[string]Role `toml:"roles" validate:"required,min=1,dive"`
}

// Role is a program that runs on some machines of a class: either on a fraction of them in each zone (Share) or on a
// fixed number of them in each zone (Count).
type Role struct {
	Run    string   `toml:"run" validate:"required"`                         // command line
	On     string   `toml:"on" validate:"required"`                          // class of machines
	Share  float64  `toml:"share" validate:"gte=0,lte=1"`                    // fraction of the class in each zone; excludes Count
	Count  int      `toml:"count" validate:"gte=0"`                          // number of machines of the class in each zone
	Apart  bool     `toml:"apart"`                                           // accepted in the file, but has no effect
	Serves []string `toml:"serves" validate:"dive,oneof=edge control_plane"` // callers that it serves; unique within the class
}

// maxRolesPerMachine is the maximum number of roles on one machine.
const maxRolesPerMachine = 2

// LoadDeploy reads and validates a deploy file. Its errors are those of Load.
func LoadDeploy(path string) (*Deploy, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "deploy")
	}
	d, err := ParseDeploy(text)
	return d, errors.Wrapf(err, "deploy file %s", path)
}

// ParseDeploy reads and validates the text of a deploy file. Its error is marked with ErrInvalid and names the role,
// the field or the position.
func ParseDeploy(text []byte) (*Deploy, error) {
	d := &Deploy{}
	if err := decode(text, d); err != nil {
		return nil, err
	}
	for _, name := range d.RoleNames() {
		if role := d.Roles[name]; (role.Share > 0) == (role.Count > 0) {
			return nil, invalid("role %s: exactly one of share and count must be above 0", name)
		}
	}
	return d, d.checkClasses()
}

// checkClasses returns an error if two roles on a class of machines serve the same callers, or if more than
// maxRolesPerMachine roles run on all machines of a class. Roles that run on only some of the machines are not counted.
func (d *Deploy) checkClasses() error {
	type service struct{ class, callers string }
	servedBy := map[service]string{}
	onAllMachines := map[string]int{} // by class: number of roles that run on all of its machines
	for _, name := range d.RoleNames() {
		role := d.Roles[name]
		for _, callers := range role.Serves {
			served := service{role.On, callers}
			if other := servedBy[served]; other != "" {
				return invalid("roles %s and %s both serve %s on %s", other, name, callers, role.On)
			}
			servedBy[served] = name
		}
		if role.Share == 1 {
			onAllMachines[role.On]++
		}
		if onAllMachines[role.On] > maxRolesPerMachine {
			return invalid("role %s: a machine of class %s can run at most %d roles", name, role.On, maxRolesPerMachine)
		}
	}
	return nil
}

// RoleNames returns the names of the roles, sorted.
func (d *Deploy) RoleNames() []string {
	var names []string
	for name := range d.Roles {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// IsDeploy reports whether a file is a deploy file rather than a router's settings.
func IsDeploy(path string) bool {
	text, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	var d struct {
		Build string         `toml:"build"`
		Roles map[string]any `toml:"roles"`
	}
	return decode(text, &d) == nil && (d.Build != "" || len(d.Roles) > 0)
}
