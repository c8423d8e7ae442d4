package counts

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"sync/atomic"

	"petrelhook/internal/sidecar/upstream"
)

// Report is a process's report of its counters.
type Report struct {
	Classes   []Class    `json:"classes"`
	ServerUse *ServerUse `json:"effort,omitempty"` // nil: the process runs a version that does not report its server use
}

// ServerUse counts the load that a process puts on its servers, on behalf of all its clients.
type ServerUse struct {
	Attempts     uint64 `json:"tries"`       // exchanges begun for requests
	Connections  uint64 `json:"connections"` // connections opened, and failed attempts to open one
	HealthChecks uint64 `json:"probes"`
}

// ConfigFile describes the configuration file that a process read last. The process reports it separately from Report.
type ConfigFile struct {
	Digest  string `json:"digest"`  // SHA-256 of the content, in hexadecimal
	Reloads uint64 `json:"reloads"` // number of reloads whose file was accepted
}

// UnmarshalJSON also accepts the format of earlier versions, which is the list of classes alone.
func (r *Report) UnmarshalJSON(text []byte) error {
	if trimmed := bytes.TrimSpace(text); len(trimmed) > 0 && trimmed[0] == '[' {
		*r = Report{}
		return json.Unmarshal(text, &r.Classes)
	}
	type withoutMethods Report
	return json.Unmarshal(text, (*withoutMethods)(r))
}

// Servers wraps an upstream.Servers and counts its use. It is safe for concurrent use if the wrapped Servers is.
type Servers struct {
	upstream.Servers
	attempts, connections, healthChecks atomic.Uint64
}

// Dial returns a function that counts its calls and calls dial.
func (s *Servers) Dial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		s.connections.Add(1)
		return dial(ctx, network, addr)
	}
}

// NewEndpoint returns an endpoint that counts its attempts and health checks in s.
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
