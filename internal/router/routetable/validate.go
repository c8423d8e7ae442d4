package routetable

import (
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	mapset "github.com/deckarep/golang-set/v2"
	"github.com/go-playground/validator/v10"
)

// structValidator returns the validator that checks the bounds in the tags of fields. It is shared, since it caches
// information about each type.
var structValidator = sync.OnceValue(func() *validator.Validate { return validator.New() })

// Validate checks whether a configuration is valid and may follow the previous one, which may be nil. If not, it returns
// an error that is marked with ErrInvalid and names the field. The previous configuration must be valid: items shared
// with it are only checked against the other items. The time for Validate is proportional to the number of items.
func (c *Config) Validate(previous *Config) error {
	if previous == nil {
		previous = &Config{}
	}
	if c.Generation <= previous.Generation {
		return invalid("field Generation: %d is not above %d", c.Generation, previous.Generation)
	}
	services := mapset.NewThreadUnsafeSetWithSize[string](len(c.Services))
	validated := validatedValues(previous.Services)
	for i, s := range c.Services {
		if err := checkItem("Services", i, s, validated); err != nil {
			return err
		}
		if !services.Add(s.Value.Name) {
			return invalid("field Services[%d].Name: %s is used twice", i, s.Value.Name)
		}
	}
	if err := c.validateRoutes(services, validatedValues(previous.Routes)); err != nil {
		return err
	}
	if !sameList(c.Tenants, previous.Tenants) {
		if err := c.validateTenants(validatedValues(previous.Tenants)); err != nil {
			return err
		}
	}
	_, err := c.ClientLimits()
	return err
}

func (c *Config) validateRoutes(services mapset.Set[string], validated map[*Route]bool) error {
	names := mapset.NewThreadUnsafeSetWithSize[string](len(c.Routes))
	prefixes := mapset.NewThreadUnsafeSetWithSize[string](len(c.Routes))
	for i, item := range c.Routes {
		r := item.Value
		if err := checkItem("Routes", i, item, validated); err != nil {
			return err
		}
		if !names.Add(r.Name) {
			return invalid("field Routes[%d].Name: %s is used twice", i, r.Name)
		}
		if !prefixes.Add(strings.ToLower(r.Host) + " " + r.PathPrefix) {
			return invalid("field Routes[%d].PathPrefix: another route has %s%s", i, r.Host, r.PathPrefix)
		}
		if err := validateBackends(i, r, services); err != nil {
			return err
		}
	}
	return nil
}

func validateBackends(i int, r *Route, services mapset.Set[string]) error {
	if len(r.WeightedBackends) == 0 {
		if !services.Contains(r.Service) {
			return invalid("field Routes[%d].Service: no service is named %q", i, r.Service)
		}
		return nil
	}
	sum := 0.0
	for _, b := range r.WeightedBackends {
		if !services.Contains(b.Service) {
			return invalid("field Routes[%d].WeightedBackends: no service is named %q", i, b.Service)
		}
		if b.Weight < 0 {
			return invalid("field Routes[%d].WeightedBackends: weight %v is below 0", i, b.Weight)
		}
		sum += b.Weight
	}
	if sum <= 0 {
		return invalid("field Routes[%d].WeightedBackends: the weights add up to 0", i)
	}
	return nil
}

func (c *Config) validateTenants(validated map[*Tenant]bool) error {
	names := mapset.NewThreadUnsafeSet[string]()
	keys := mapset.NewThreadUnsafeSet[string]()
	for i, item := range c.Tenants {
		t := item.Value
		if err := checkItem("Tenants", i, item, validated); err != nil {
			return err
		}
		if !names.Add(t.Name) {
			return invalid("field Tenants[%d].Name: %s is used twice", i, t.Name)
		}
		for _, key := range mapset.NewThreadUnsafeSet(t.ApiKeys...).ToSlice() { // a tenant may list a key twice
			if !keys.Add(key) {
				return invalid("field Tenants[%d].ApiKeys: another tenant has one of these keys", i)
			}
		}
	}
	return nil
}

// validatedValues returns the set of the values of a list that was validated before.
func validatedValues[T Named](items []Item[T]) map[*T]bool {
	validated := make(map[*T]bool, len(items))
	for _, item := range items {
		validated[item.Value] = true
	}
	return validated
}

// checkItem validates the fields of an item, unless its value was validated before.
func checkItem[T Named](list string, i int, item Item[T], validated map[*T]bool) error {
	if item.Value == nil {
		return invalid("field %s[%d]: null is not an item", list, i)
	}
	if validated[item.Value] {
		return nil
	}
	err := structValidator().Struct(item.Value)
	var fields validator.ValidationErrors
	if errors.As(err, &fields) && len(fields) > 0 {
		f := fields[0]
		return invalid("field %s[%d].%s: does not satisfy %s %s", list, i, f.StructField(), f.Tag(), f.Param())
	}
	return err
}

// invalid returns a formatted error that is marked with ErrInvalid.
func invalid(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrInvalid)
}
