// Package routetable is the operator's configuration: its format, its validity, what an update makes of it, and the
// immutable table that a request is looked up in (host, longest prefix, key). It is pure.
//
// Invariant: a Config is never changed after Validate; an update makes a new one.
package routetable

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	mapset "github.com/deckarep/golang-set/v2"
	"github.com/go-playground/validator/v10"
)

// ErrInvalid marks a configuration, or an order, that is not taken.
var ErrInvalid = errors.New("invalid configuration")

// WeightedBackend is one of the services that a route is split over.
type WeightedBackend struct {
	Service string `validate:"required"`
	Weight  float64
}

// Route sends the requests of one host and prefix to a service.
type Route struct {
	Name             string `validate:"required"`
	Host             string `validate:"required"`
	PathPrefix       string `validate:"required,startswith=/,endswith=/"`
	RouteType        string
	TimeoutMs        float64 `validate:"gt=0"`
	TargetLatencyMs  float64 `validate:"gte=0"`
	Priority         int
	Service          string            `json:",omitempty"`
	WeightedBackends []WeightedBackend `json:",omitempty" validate:"dive"`
	MaxAttempts      int               `validate:"gte=0"`
	Public           bool
	SessionAffinity  bool
	StreamResume     bool
	GapAimMs         float64 `json:"gap_aim_ms,omitempty" validate:"gte=0"`
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots            int
	KvCapacityTokens float64
	KvTokenBytes     float64
	LinkMbps         float64
	Stride           float64 `json:"stride"`
}

// Service is a set of servers.
type Service struct {
	Name           string `validate:"required"`
	HealthPath     string
	MaxConnections int
	Engine         *Engine `json:",omitempty"`
}

// ClientLimits bound what a client may send, and how long it may take or rest.
type ClientLimits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMs float64
	IdleTimeoutMs   float64
}

// Tenant is a customer, its keys and what it is granted.
type Tenant struct {
	Name           string `validate:"required"`
	ApiKeys        []string
	Priority       int
	Unit           string
	UncachedTokens float64
	RatePerS       float64 `validate:"gte=0"`
	Burst          float64 `validate:"gte=0"`
}

// Config is a whole configuration as the operator sends it. Items keep the text they came in: what is read back is
// what was sent, with fields that this version does not know.
type Config struct {
	Generation int64 `validate:"gt=0"`
	Routes     []Item[Route]
	Services   []Item[Service]
	Limits     json.RawMessage `json:",omitempty"`
	Tenants    []Item[Tenant]  `json:",omitempty"`
}

// Named is an item that an update refers to by its name.
type Named interface{ name() string }

func (r Route) name() string   { return r.Name }
func (s Service) name() string { return s.Name }
func (t Tenant) name() string  { return t.Name }

// Item is a value together with the text it was read from. Configurations share the values of items that did not change.
type Item[T Named] struct {
	Value *T
	Text  json.RawMessage
}

// UnmarshalJSON reads the value and keeps the text.
func (i *Item[T]) UnmarshalJSON(text []byte) error {
	i.Text = append(json.RawMessage(nil), text...)
	i.Value = new(T)
	return json.Unmarshal(text, i.Value)
}

func (i Item[T]) name() string { return (*i.Value).name() }

// Update changes named items of a configuration.
type Update struct {
	Generation int64
	Upsert     struct {
		Routes   []Item[Route]
		Services []Item[Service]
		Tenants  []Item[Tenant]
	}
	Remove struct {
		Routes   []string
		Services []string
		Tenants  []string
	}
	Limits json.RawMessage `json:",omitempty"`
}

// ParseConfig reads a whole configuration. It does not judge it.
func ParseConfig(body []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "configuration"), ErrInvalid)
	}
	return c, nil
}

// ParseUpdate reads an update.
func ParseUpdate(body []byte) (*Update, error) {
	u := &Update{}
	if err := json.Unmarshal(body, u); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "update"), ErrInvalid)
	}
	return u, nil
}

// Apply makes the configuration that an update asks for.
func (c *Config) Apply(u *Update) *Config {
	next := &Config{Generation: u.Generation, Limits: c.Limits}
	next.Routes = merge(c.Routes, u.Upsert.Routes, u.Remove.Routes)
	next.Services = merge(c.Services, u.Upsert.Services, u.Remove.Services)
	next.Tenants = merge(c.Tenants, u.Upsert.Tenants, u.Remove.Tenants)
	if len(u.Limits) > 0 {
		next.Limits = u.Limits
	}
	return next
}

func merge[T Named](old, upsert []Item[T], remove []string) []Item[T] {
	if len(upsert) == 0 && len(remove) == 0 {
		return old
	}
	gone := mapset.NewThreadUnsafeSet(remove...)
	changed := make(map[string]Item[T], len(upsert))
	for _, item := range upsert {
		changed[item.name()] = item
	}
	out := make([]Item[T], 0, len(old)+len(upsert))
	placed := mapset.NewThreadUnsafeSet[string]()
	for _, item := range old {
		name := item.name()
		if replacement, ok := changed[name]; ok {
			item = replacement
		} else if gone.Contains(name) {
			continue
		}
		placed.Add(name)
		out = append(out, item)
	}
	for _, item := range upsert {
		if placed.Add(item.name()) {
			out = append(out, changed[item.name()])
		}
	}
	return out
}

// sameList reports whether two configurations share a list, which an update that does not name any of its items leaves as it is.
func sameList[T Named](a, b []Item[T]) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

var structValidator = sync.OnceValue(func() *validator.Validate { return validator.New() })

// Validate judges a configuration that follows another, which may be nil. Items that it shares with that one were judged
// with it and are looked at only for what they are to the others.
func (c *Config) Validate(previous *Config) error {
	if previous == nil {
		previous = &Config{}
	}
	if c.Generation <= previous.Generation {
		return invalid("field Generation: %d is not above %d", c.Generation, previous.Generation)
	}
	services := mapset.NewThreadUnsafeSetWithSize[string](len(c.Services))
	judged := values(previous.Services)
	for i, s := range c.Services {
		if err := checkItem("Services", i, s, judged); err != nil {
			return err
		}
		if !services.Add(s.Value.Name) {
			return invalid("field Services[%d].Name: %s stands twice", i, s.Value.Name)
		}
	}
	if err := c.validateRoutes(services, values(previous.Routes)); err != nil {
		return err
	}
	if !sameList(c.Tenants, previous.Tenants) {
		if err := c.validateTenants(values(previous.Tenants)); err != nil {
			return err
		}
	}
	_, err := c.ClientLimits()
	return err
}

func (c *Config) validateRoutes(services mapset.Set[string], judged map[*Route]bool) error {
	names := mapset.NewThreadUnsafeSetWithSize[string](len(c.Routes))
	places := mapset.NewThreadUnsafeSetWithSize[string](len(c.Routes))
	for i, item := range c.Routes {
		r := item.Value
		if err := checkItem("Routes", i, item, judged); err != nil {
			return err
		}
		if !names.Add(r.Name) {
			return invalid("field Routes[%d].Name: %s stands twice", i, r.Name)
		}
		if !places.Add(strings.ToLower(r.Host) + " " + r.PathPrefix) {
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

func (c *Config) validateTenants(judged map[*Tenant]bool) error {
	names := mapset.NewThreadUnsafeSet[string]()
	keys := mapset.NewThreadUnsafeSet[string]()
	for i, item := range c.Tenants {
		t := item.Value
		if err := checkItem("Tenants", i, item, judged); err != nil {
			return err
		}
		if !names.Add(t.Name) {
			return invalid("field Tenants[%d].Name: %s stands twice", i, t.Name)
		}
		own := mapset.NewThreadUnsafeSet(t.ApiKeys...)
		for _, key := range own.ToSlice() {
			if !keys.Add(key) {
				return invalid("field Tenants[%d].ApiKeys: another tenant has one of these keys", i)
			}
		}
	}
	return nil
}

// ClientLimits reads the bounds on clients; what is left out is not bounded.
func (c *Config) ClientLimits() (ClientLimits, error) {
	var l ClientLimits
	if len(c.Limits) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(c.Limits, &l); err != nil {
		return l, errors.Mark(errors.Wrap(err, "field Limits"), ErrInvalid)
	}
	return l, nil
}

// values are the items of a list that were judged already.
func values[T Named](items []Item[T]) map[*T]bool {
	out := make(map[*T]bool, len(items))
	for _, item := range items {
		out[item.Value] = true
	}
	return out
}

func checkItem[T Named](list string, i int, item Item[T], judged map[*T]bool) error {
	if item.Value == nil {
		return invalid("field %s[%d]: it is null", list, i)
	}
	if judged[item.Value] {
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

// Encode gives the configuration as JSON, from the texts that its items came in.
func (c *Config) Encode() []byte {
	var b bytes.Buffer
	b.WriteString(`{"Generation":`)
	b.WriteString(strconv.FormatInt(c.Generation, 10))
	encodeItems(&b, "Routes", c.Routes)
	encodeItems(&b, "Services", c.Services)
	if len(c.Limits) > 0 {
		b.WriteString(`,"Limits":`)
		b.Write(c.Limits)
	}
	if c.Tenants != nil {
		encodeItems(&b, "Tenants", c.Tenants)
	}
	b.WriteByte('}')
	return b.Bytes()
}

func encodeItems[T Named](b *bytes.Buffer, name string, items []Item[T]) {
	b.WriteString(`,"` + name + `":[`)
	for i, item := range items {
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(item.Text)
	}
	b.WriteByte(']')
}

func invalid(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrInvalid)
}
