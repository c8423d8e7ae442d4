// Package routetable defines the operator's configuration: its JSON format, its validation and its updates. It also
// compiles a configuration to an immutable table for looking up the route of a request, by host and longest path prefix,
// and its tenant, by API key.
//
// The package does not store or replicate configurations, nor decide which one is in force. It is pure. Any goroutine may
// use its values: a Config does not change after Validate, and a Table does not change after Compile. An update creates a
// new Config, which shares unchanged items with the previous one.
//
// JSON fields have the names of the Go fields unless a tag says otherwise. Errors contain the JSON names.
package routetable

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks the errors of all rejected configurations and updates. Since it is a mark, errors.Is of
// github.com/cockroachdb/errors finds it, and errors.Is of the standard library does not.
var ErrInvalid = errors.New("invalid configuration")

// WeightedBackend is one of several services among which the requests of a route are divided by weight.
type WeightedBackend struct {
	Service string `validate:"required"`
	Weight  float64
}

// Route configures to which service or services the requests for a host and path prefix go, and how they are handled.
type Route struct {
	Name             string  `validate:"required"`
	Host             string  `validate:"required"`
	PathPrefix       string  `validate:"required,startswith=/,endswith=/"`
	RouteType        string  // "safe" or "streaming"; any other value means unsafe, see Kind
	TimeoutMs        float64 `validate:"gt=0"`
	TargetLatencyMs  float64 `validate:"gte=0"` // for the first part of the answer; 0: none
	Priority         int
	Service          string            `json:",omitempty"`
	WeightedBackends []WeightedBackend `json:",omitempty" validate:"dive"`
	MaxAttempts      int               `validate:"gte=0"`
	Public           bool
	SessionAffinity  bool
	StreamResume     bool
	GapAimMs         float64 `json:"gap_aim_ms,omitempty" validate:"gte=0"` // target for the longest time between two parts of the answer; 0: none
}

// Engine describes the servers of a service that run a language model.
type Engine struct {
	Slots            int
	KvCapacityTokens float64
	KvTokenBytes     float64
	LinkMbps         float64
	Stride           float64 `json:"stride"`
}

// Service configures a service, which is a set of servers.
type Service struct {
	Name           string `validate:"required"`
	HealthPath     string
	MaxConnections int
	Engine         *Engine `json:",omitempty"`
}

// ClientLimits bounds the size of a client's request, the time to send its header, and the time that the client's
// connection may be idle. 0 means no bound.
type ClientLimits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMs float64
	IdleTimeoutMs   float64
}

// Tenant configures a customer: its API keys and its limit.
type Tenant struct {
	Name           string `validate:"required"`
	ApiKeys        []string
	Priority       int
	Unit           string
	UncachedTokens float64
	RatePerS       float64 `validate:"gte=0"`
	Burst          float64 `validate:"gte=0"`
}

// Config is a complete configuration as the operator sends it. Its items keep their JSON text, so that reading the
// configuration back returns what was sent, including fields that this version does not know.
type Config struct {
	Generation int64 `validate:"gt=0"`
	Routes     []Item[Route]
	Services   []Item[Service]
	Limits     json.RawMessage `json:",omitempty"`
	Tenants    []Item[Tenant]  `json:",omitempty"`
}

// Named is implemented by the values of items. Updates refer to an item by the name of its value.
type Named interface{ name() string }

func (r Route) name() string   { return r.Name }
func (s Service) name() string { return s.Name }
func (t Tenant) name() string  { return t.Name }

// Item is a value together with the JSON text from which it was read. Configurations share the values of unchanged
// items.
type Item[T Named] struct {
	Value *T
	Text  json.RawMessage
}

// UnmarshalJSON implements json.Unmarshaler. It copies the text.
func (i *Item[T]) UnmarshalJSON(text []byte) error {
	i.Text = append(json.RawMessage(nil), text...)
	i.Value = new(T)
	return json.Unmarshal(text, i.Value)
}

func (i Item[T]) name() string { return (*i.Value).name() }

// ParseConfig parses a complete configuration without validating it. Its errors are marked with ErrInvalid.
func ParseConfig(body []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "configuration"), ErrInvalid)
	}
	return c, nil
}

// ClientLimits parses the field Limits. Limits that are left out are 0. Its errors are marked with ErrInvalid.
func (c *Config) ClientLimits() (ClientLimits, error) {
	var limits ClientLimits
	if len(c.Limits) == 0 {
		return limits, nil
	}
	if err := json.Unmarshal(c.Limits, &limits); err != nil {
		return limits, errors.Mark(errors.Wrap(err, "field Limits"), ErrInvalid)
	}
	return limits, nil
}

// sameList reports whether two lists are the same slice, or both empty. An update that names no item of a list keeps the
// slice.
func sameList[T Named](a, b []Item[T]) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Encode returns the configuration as JSON, composed of the original texts of its items.
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
