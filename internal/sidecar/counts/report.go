package counts

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"sync/atomic"

	"petrelhook/internal/sidecar/upstream"
)

// Report is what a process reports of its requests.
type Report struct {
	Classes   []Class    `json:"classes"`
	ServerUse *ServerUse `json:"effort,omitempty"` // nil: the process is of a version that does not report it
}

// ServerUse counts what a process did at its servers for all its clients.
type ServerUse struct {
	Attempts     uint64 `json:"tries"`       // exchanges that were begun for requests
	Connections  uint64 `json:"connections"` // that were opened, or tried to
	HealthChecks uint64 `json:"probes"`
}

// File is the configuration file that a process has read last. It is reported beside Report.
type File struct {
	Digest  string `json:"digest"`  // of its content: SHA-256 in hexadecimal
	Reloads uint64 `json:"reloads"` // how often it was read again and accepted
}

// UnmarshalJSON also reads what earlier versions report: the classes alone.
func (t *Report) UnmarshalJSON(text []byte) error {
	if trimmed := bytes.TrimSpace(text); len(trimmed) > 0 && trimmed[0] == '[' {
		*t = Report{}
		return json.Unmarshal(text, &t.Classes)
	}
	type plain Report
	return json.Unmarshal(text, (*plain)(t))
}

// Servers is an upstream.Servers that counts the use of another.
type Servers struct {
	upstream.Servers
	attempts, connections, healthChecks atomic.Uint64
}

// Dial returns a dial function that counts the connections which another opens.
func (s *Servers) Dial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		s.connections.Add(1)
		return dial(ctx, network, addr)
	}
}

// NewEndpoint returns a counting endpoint.
func (s *Servers) NewEndpoint() upstream.Endpoint { return &endpoint{s.Servers.NewEndpoint(), s} }

// Snapshot returns the counters.
func (s *Servers) Snapshot() *ServerUse {
	return &ServerUse{s.attempts.Load(), s.connections.Load(), s.healthChecks.Load()}
}

type endpoint struct {
	upstream.Endpoint
	servers *Servers
}

func (e *endpoint) Send(ctx context.Context, c *upstream.Call) upstream.Outcome {
	e.servers.attempts.Add(1)
	return e.Endpoint.Send(ctx, c)
}

func (e *endpoint) CheckHealth(ctx context.Context) upstream.Outcome {
	e.servers.healthChecks.Add(1)
	return e.Endpoint.CheckHealth(ctx)
}
