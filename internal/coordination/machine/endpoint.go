package machine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rollout"
)

// Version is of the messages below. Another one is refused.
const Version = 1

// The calls.
const (
	PathStatus      = "/petrelagent.v1.Agent/Look"
	PathOrder       = "/petrelagent.v1.Agent/Order"
	PathCheck       = "/petrelagent.v1.Agent/Check"
	maxRequestBytes = 64 << 10
	// MaxResponseBytes bounds an answer: the counts of a machine full of sidecars.
	MaxResponseBytes = 16 << 20
)

// StatusRequest asks what is. With a driver's token it also says that the fleet is in reach, and what is confirmed by it.
type StatusRequest struct {
	Version     int    `json:"version"`
	Application string `json:"application"`
	Token       uint64 `json:"token,omitempty"`
	Confirmed   string `json:"confirmed,omitempty"`
}

// Status is what there is.
type Status struct {
	Sidecars []SidecarStatus `json:"sidecars"`
}

// SidecarStatus is one sidecar.
type SidecarStatus struct {
	rollout.Report
	Zone          string          `json:"zone,omitempty"`
	Phase         string          `json:"phase"`
	Confirmed     string          `json:"confirmed"`
	Process       agent.Process   `json:"process"` // the one that the counts are of
	Counts        json.RawMessage `json:"counts,omitempty"`
	CPUTicks      uint64          `json:"cpu,omitempty"`    // ticks of the system that it has used
	ResidentBytes uint64          `json:"memory,omitempty"` // bytes that it has resident
}

// Order is a driver's.
type Order struct {
	Version     int           `json:"version"`
	Application string        `json:"application"`
	Token       uint64        `json:"token"`
	Order       rollout.Order `json:"order"`
}

// OrderResponse says that an order is carried out, or was.
type OrderResponse struct {
	Known bool `json:"known"`
}

// CheckRequest asks whether a release could be run here. Settings are the release's own.
type CheckRequest struct {
	Version int    `json:"version"`
	Release string `json:"release"`
}

// CheckResponse is the yes.
type CheckResponse struct {
	Settings json.RawMessage `json:"settings"`
}

func (m *Machine) checkAddressee(version int, application string) error {
	if version != Version {
		return connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("version %d; this agent speaks %d", version, Version))
	}
	if application != m.config.Application {
		return connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("application %q; this agent is of %q", application, m.config.Application))
	}
	return nil
}

var errStopping = connect.NewError(connect.CodeUnavailable, errors.New("this agent ends"))

// owned has f run by the owner, and waits for what it gives.
func owned[T any](ctx context.Context, m *Machine, f func() (T, error)) (v T, err error) {
	type result struct {
		v   T
		err error
	}
	done := make(chan result, 1)
	if !m.post(func() error {
		v, err := f()
		done <- result{v, err}
		var disk diskError
		if errors.As(err, &disk) {
			return disk.error
		}
		return nil
	}) {
		return v, errStopping
	}
	select {
	case r := <-done:
		return r.v, r.err
	case <-ctx.Done():
		return v, ctx.Err()
	case <-m.ended:
		return v, errStopping
	}
}

// diskError ends the agent.
type diskError struct{ error }

func asDiskError(err error) error {
	if err == nil {
		return nil
	}
	return diskError{err}
}

func (m *Machine) handleStatus(ctx context.Context, in *StatusRequest) (*Status, error) {
	if err := m.checkAddressee(in.Version, in.Application); err != nil {
		return nil, err
	}
	return owned(ctx, m, func() (*Status, error) {
		if in.Token != 0 {
			if err := m.observeToken(in.Token); err != nil {
				return nil, err
			}
		}
		seen := &Status{}
		for _, u := range m.sidecars {
			if in.Token != 0 && in.Confirmed != "" {
				u.Confirm(in.Confirmed)
				if err := asDiskError(m.carryOut(u, nil)); err != nil {
					return nil, err
				}
			}
			seen.Sidecars = append(seen.Sidecars, u.status())
		}
		return seen, nil
	})
}

// observeToken takes in a driver's token: an older one's is refused from then on.
func (m *Machine) observeToken(token uint64) error {
	if err := m.fence.ObserveToken(token); err != nil {
		return connect.NewError(connect.CodeAborted, err)
	}
	m.lastContact = m.now()
	return asDiskError(m.saveFence())
}

func (m *Machine) saveFence() error {
	if m.savedFence.Equal(m.fence) {
		return nil
	}
	if err := m.writeState("fence", m.fence); err != nil {
		return err
	}
	m.savedFence = rollout.Fence{Token: m.fence.Token, LastOrders: maps.Clone(m.fence.LastOrders)}
	return nil
}

func (u *managedSidecar) status() SidecarStatus {
	s := SidecarStatus{Zone: u.config.Zone, Phase: u.Phase.String(), Confirmed: u.Confirmed}
	s.Report = rollout.Report{Sidecar: u.config.Name, CompletedOrder: u.CompletedOrder, FailureReason: u.FailureReason, FallbackReason: u.FallbackReason}
	s.Release, s.Ready = u.Serves()
	if u.Serving != nil {
		s.Process, s.Counts = *u.Serving, u.counts[*u.Serving]
		s.CPUTicks, s.ResidentBytes = usage(*u.Serving)
	}
	return s
}

func (m *Machine) handleOrder(ctx context.Context, in *Order) (*OrderResponse, error) {
	if err := m.checkAddressee(in.Version, in.Application); err != nil {
		return nil, err
	}
	return owned(ctx, m, func() (*OrderResponse, error) {
		for _, u := range m.sidecars {
			if u.config.Name != in.Order.Sidecar {
				continue
			}
			if err := m.fence.ObserveToken(in.Token); err != nil {
				return nil, connect.NewError(connect.CodeAborted, err)
			}
			known, err := m.fence.Admit(in.Token, in.Order)
			if err != nil {
				return nil, connect.NewError(connect.CodeFailedPrecondition, err)
			}
			m.lastContact = m.now()
			if err := asDiskError(m.saveFence()); err != nil {
				return nil, err
			}
			todo, err := u.ChangeRelease(m.now(), in.Order.Number, in.Order.Release) // once, whatever the fence has known
			if err != nil {
				return nil, connect.NewError(connect.CodeUnavailable, err)
			}
			return &OrderResponse{known}, asDiskError(m.carryOut(u, todo))
		}
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("there is no sidecar %q on this machine", in.Order.Sidecar))
	})
}

// checkTimeout is for how long a program may check settings.
const checkTimeout = 10 * time.Second

// handleCheck has the program of a release check its settings, for each sidecar of the machine.
func (m *Machine) handleCheck(ctx context.Context, in *CheckRequest) (*CheckResponse, error) {
	if err := m.checkAddressee(in.Version, m.config.Application); err != nil {
		return nil, err
	}
	bad := func(err error) error { return connect.NewError(connect.CodeFailedPrecondition, err) }
	r, err := m.store.Open(release.ID(in.Release))
	if err != nil {
		return nil, bad(err)
	}
	settings, err := os.ReadFile(r.Settings)
	if err != nil {
		return nil, bad(err)
	}
	inForce, err := owned(ctx, m, func() ([]json.RawMessage, error) {
		var all []json.RawMessage
		for _, u := range m.sidecars {
			all = append(all, m.versions[u.InForce].Content)
		}
		return all, nil
	})
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(m.config.Data, ".check-")
	if err != nil {
		return nil, bad(err)
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for i := range m.config.Sidecars {
		path := filepath.Join(dir, m.config.Sidecars[i].Name+".json")
		if err := m.writeSettings(&m.config.Sidecars[i], r, inForce[i], path); err != nil {
			return nil, bad(err)
		}
		cmd := exec.CommandContext(ctx, r.Program, "--check", "--config", path)
		cmd.WaitDelay = time.Second
		if out, err := cmd.CombinedOutput(); err != nil {
			return nil, bad(fmt.Errorf("%s: its program does not take its settings for %s: %w: %s", r.ID, m.config.Sidecars[i].Name, err, strings.TrimSpace(string(out))))
		}
	}
	return &CheckResponse{settings}, nil
}

// probeTimeout is for how long an operators' endpoint is waited for.
const probeTimeout = time.Second

var adminClient = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// probe asks a process whether it is ready, and for its counts.
func (m *Machine) probe(ctx context.Context, u *managedSidecar, p agent.Process) {
	_, yes := adminGet(ctx, p.AdminAddress, "/api/ready")
	counts, counted := adminGet(ctx, p.AdminAddress, "/api/counts")
	m.post(func() error {
		delete(u.probing, p)
		if !u.runs(p) {
			return nil
		}
		if counted && json.Valid(counts) {
			u.counts[p] = counts
			u.DigestReported(p, reportedDigest(counts))
		}
		return m.carryOut(u, u.ReadinessObserved(m.now(), p, yes))
	})
}

func adminGet(ctx context.Context, endpoint, path string) (text []byte, ok bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint+path, nil)
	if err != nil {
		return nil, false
	}
	res, err := adminClient.Do(req)
	if err != nil {
		return nil, false
	}
	defer res.Body.Close()
	text, err = io.ReadAll(io.LimitReader(res.Body, 1<<20))
	return text, err == nil && res.StatusCode == http.StatusOK
}
