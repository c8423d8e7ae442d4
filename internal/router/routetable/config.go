// Package routetable is the operator's configuration: its format, its validity, what an update makes of it, and the
// immutable table in which a request's route and tenant are looked up (by host and longest prefix, and by key).
//
// It does not store or replicate configurations, nor decide which one is in force. It is pure, and any goroutine may
// use it: a Config is never changed after Validate, and a Table never after Compile. An update makes a new Config,
// which shares what did not change.
//
// Field names of the JSON are the Go names unless a tag says otherwise; the names in errors are the JSON's.
package routetable

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks the error of a configuration or an update that is rejected, whatever the version before it. As a
// mark it is found by Is of github.com/cockroachdb/errors, not by that of the standard library.
var ErrInvalid = errors.New("invalid configuration")

// WeightedBackend is one of the services that a route is split over.
type WeightedBackend struct {
	Service string `validate:"required"`
	Weight  float64
}

// Route says to which service, or services, the requests of one host and path prefix go, and how.
type Route struct {
	Name             string  `validate:"required"`
	Host             string  `validate:"required"`
	PathPrefix       string  `validate:"required,startswith=/,endswith=/"`
	RouteType        string  // "safe", "streaming" or else unsafe: see Kind
	TimeoutMs        float64 `validate:"gt=0"`
	TargetLatencyMs  float64 `validate:"gte=0"` // for the first part of the answer; 0: none
	Priority         int
	Service          string            `json:",omitempty"`
	WeightedBackends []WeightedBackend `json:",omitempty" validate:"dive"`
	MaxAttempts      int               `validate:"gte=0"`
	Public           bool
	SessionAffinity  bool
	StreamResume     bool
	GapAimMs         float64 `json:"gap_aim_ms,omitempty" validate:"gte=0"` // target for the longest time between two parts; 0: none
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

// ClientLimits bound what a client may send, how long it may take to send a header, and how long its connection may be
// idle. 0 is no bound.
type ClientLimits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMs float64
	IdleTimeoutMs   float64
}

// Tenant is a customer, its keys and its limit.
type Tenant struct {
	Name           string `validate:"required"`
	ApiKeys        []string
	Priority       int
	Unit           string
	UncachedTokens float64
	RatePerS       float64 `validate:"gte=0"`
	Burst          float64 `validate:"gte=0"`
}

// Config is a complete configuration as the operator sends it. Items keep the text that they came in, so that what is
// read back is what was sent, fields that this version does not know included.
type Config struct {
	Generation int64 `validate:"gt=0"`
	Routes     []Item[Route]
	Services   []Item[Service]
	Limits     json.RawMessage `json:",omitempty"`
	Tenants    []Item[Tenant]  `json:",omitempty"`
}

// Named is the value of an item, which an update refers to by its name.
type Named interface{ name() string }

func (r Route) name() string   { return r.Name }
func (s Service) name() string { return s.Name }
func (t Tenant) name() string  { return t.Name }

// Item is a value together with the text it was read from. Configurations share the values of items that did not
// change.
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

// ParseConfig reads a complete configuration, without validating it. Its error is an ErrInvalid.
func ParseConfig(body []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "configuration"), ErrInvalid)
	}
	return c, nil
}

// ClientLimits reads the bounds on clients; what is left out is not bounded. Its error is an ErrInvalid.
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

// sameList reports whether two lists are one and the same: an update leaves a list as it is where it names none of its
// items.
func sameList[T Named](a, b []Item[T]) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Encode returns the configuration as JSON, made of the texts that its items came in.
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
