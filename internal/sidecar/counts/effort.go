package counts

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"sync/atomic"

	"petrelhook/internal/sidecar/upstream"
)

// Told is all that a process tells.
type Told struct {
	Classes []Class `json:"classes"`
	Effort  *Effort `json:"effort,omitempty"` // nil: the process is of a version that does not tell
}

// Effort is what a process asks of its servers, whoever its clients are.
type Effort struct {
	Tries       uint64 `json:"tries"`       // exchanges begun, for requests
	Connections uint64 `json:"connections"` // opened, or tried to
	Probes      uint64 `json:"probes"`
}

// File is the configuration that a process has read last. It is told beside Told.
type File struct {
	Digest  string `json:"digest"`  // of its text: SHA-256 in hexadecimal
	Reloads uint64 `json:"reloads"` // how often it was read again, and taken
}

// UnmarshalJSON also reads what earlier versions tell: the classes alone.
func (t *Told) UnmarshalJSON(text []byte) error {
	if trimmed := bytes.TrimSpace(text); len(trimmed) > 0 && trimmed[0] == '[' {
		*t = Told{}
		return json.Unmarshal(text, &t.Classes)
	}
	type plain Told
	return json.Unmarshal(text, (*plain)(t))
}

// Servers counts what is asked of servers on its way.
type Servers struct {
	upstream.Servers
	tries, connections, probes atomic.Uint64
}

// Dial counts the connections that a dialler opens.
func (s *Servers) Dial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		s.connections.Add(1)
		return dial(ctx, network, addr)
	}
}

// Endpoint is one of the counted.
func (s *Servers) Endpoint() upstream.Endpoint { return &endpoint{s.Servers.Endpoint(), s} }

// Now is what is counted so far.
func (s *Servers) Now() *Effort {
	return &Effort{s.tries.Load(), s.connections.Load(), s.probes.Load()}
}

type endpoint struct {
	upstream.Endpoint
	of *Servers
}

func (e *endpoint) Send(ctx context.Context, c *upstream.Call) upstream.Outcome {
	e.of.tries.Add(1)
	return e.Endpoint.Send(ctx, c)
}

func (e *endpoint) Probe(ctx context.Context) upstream.Outcome {
	e.of.probes.Add(1)
	return e.Endpoint.Probe(ctx)
}
