package machine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rollout"
)

// driverContact records which drivers and orders an agent has accepted, and the time of the last call of a driver.
type driverContact struct {
	fence       rollout.Fence
	savedFence  rollout.Fence // the fence on the disk
	lastContact time.Duration // a reading of Machine.now
}

const fenceName = "fence"

func (d *driverContact) load(data dataFolder) error {
	if _, err := data.readJSON(fenceName, &d.fence); err != nil {
		return err
	}
	_, err := data.readJSON(fenceName, &d.savedFence)
	return err
}

// save persists the fence if it has changed.
func (d *driverContact) save(data dataFolder) error {
	if d.savedFence.Equal(d.fence) {
		return nil
	}
	if err := data.writeJSON(fenceName, d.fence); err != nil {
		return err
	}
	d.savedFence = rollout.Fence{Token: d.fence.Token, LastOrders: maps.Clone(d.fence.LastOrders)}
	return nil
}

// errStopping is the response to calls that the agent can no longer execute.
var errStopping = connect.NewError(connect.CodeUnavailable, errors.New("this agent is stopping"))

// diskError wraps an error of the agent's disk. It ends the agent, because the state on the disk is then unknown.
type diskError struct{ error }

func (e diskError) Unwrap() error { return e.error }

// asDiskError wraps err in a diskError; nil stays nil.
func asDiskError(err error) error {
	if err == nil {
		return nil
	}
	return diskError{err}
}

// runOnOwner runs f on the goroutine that owns the machine, and waits for its result. A diskError of f ends the agent. If ctx
// ends first, runOnOwner returns ctx.Err(), and f may still run. The owner itself must not call it.
func runOnOwner[T any](ctx context.Context, m *Machine, f func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	var zero T
	done := make(chan result, 1)
	posted := m.post(func() error {
		value, err := f()
		done <- result{value, err}
		var diskErr diskError
		if errors.As(err, &diskErr) {
			return diskErr.error
		}
		return nil
	})
	if !posted {
		return zero, errStopping
	}
	select {
	case r := <-done:
		return r.value, r.err
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-m.ended:
		return zero, errStopping
	}
}

// checkAddressee rejects a message of another protocol version or for the agent of another application.
func (m *Machine) checkAddressee(version int, application string) error {
	if version != Version {
		return connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("version %d; this agent speaks %d", version, Version))
	}
	if application != m.config.Application {
		return connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("application %q; this agent is of %q", application, m.config.Application))
	}
	return nil
}

func (m *Machine) handleStatus(ctx context.Context, request *StatusRequest) (*Status, error) {
	if err := m.checkAddressee(request.Version, request.Application); err != nil {
		return nil, err
	}
	return runOnOwner(ctx, m, func() (*Status, error) {
		if request.Token != 0 {
			if err := m.observeToken(request.Token); err != nil {
				return nil, err
			}
		}
		status := &Status{}
		for _, managed := range m.sidecars {
			if request.Token != 0 && request.Confirmed != "" {
				managed.Confirm(request.Confirmed)
				if err := asDiskError(m.execute(managed, nil)); err != nil {
					return nil, err
				}
			}
			status.Sidecars = append(status.Sidecars, managed.status(m.config.Host))
		}
		return status, nil
	})
}

// observeToken records a call of the driver with a fencing token, and persists the token. Calls of drivers with older tokens are
// rejected from then on. Only the goroutine that owns the machine may call it.
func (m *Machine) observeToken(token uint64) error {
	if err := m.driver.fence.ObserveToken(token); err != nil {
		return connect.NewError(connect.CodeAborted, err)
	}
	m.driver.lastContact = m.now()
	return asDiskError(m.driver.save(m.data))
}

// status returns the status of a sidecar for a driver.
func (s *managedSidecar) status(host Host) SidecarStatus {
	status := SidecarStatus{Zone: s.config.Zone, Phase: s.Phase.String(), Confirmed: s.Confirmed}
	status.Report = rollout.Report{Sidecar: s.config.Name, CompletedOrder: s.CompletedOrder, FailureReason: s.FailureReason,
		FallbackReason: s.FallbackReason}
	status.Release, status.Ready = s.Serves()
	if s.Serving != nil {
		status.Process, status.Counts = *s.Serving, s.counts[*s.Serving]
		status.CPUTicks, status.ResidentBytes = host.Usage(*s.Serving)
	}
	return status
}

func (m *Machine) handleOrder(ctx context.Context, request *Order) (*OrderResponse, error) {
	if err := m.checkAddressee(request.Version, request.Application); err != nil {
		return nil, err
	}
	return runOnOwner(ctx, m, func() (*OrderResponse, error) {
		for _, managed := range m.sidecars {
			if managed.config.Name == request.Order.Sidecar {
				return m.acceptOrder(managed, request.Token, request.Order)
			}
		}
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("there is no sidecar %q on this machine", request.Order.Sidecar))
	})
}

// acceptOrder starts to execute an order. The fence with the number of the order is on the disk before the first action.
func (m *Machine) acceptOrder(managed *managedSidecar, token uint64, order rollout.Order) (*OrderResponse, error) {
	known, err := m.driver.fence.Admit(token, order)
	if stale := (*rollout.StaleTokenError)(nil); errors.As(err, &stale) {
		return nil, connect.NewError(connect.CodeAborted, stale)
	} else if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	m.driver.lastContact = m.now()
	if err := asDiskError(m.driver.save(m.data)); err != nil {
		return nil, err
	}
	// The sidecar gets the order even if the fence knows it: the agent may have been killed after it saved the fence, and the
	// sidecar ignores an order that it has completed.
	actions, err := managed.ChangeRelease(m.now(), order.Number, order.Release)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &OrderResponse{known}, asDiskError(m.execute(managed, actions))
}

// handleCheck runs the program of a release to check its settings for each sidecar, with the version that the sidecar has in
// force.
func (m *Machine) handleCheck(ctx context.Context, request *CheckRequest) (*CheckResponse, error) {
	if err := m.checkAddressee(request.Version, m.config.Application); err != nil {
		return nil, err
	}
	reject := func(err error) error { return connect.NewError(connect.CodeFailedPrecondition, err) }
	r, err := m.store.Open(release.ID(request.Release))
	if err != nil {
		return nil, reject(err)
	}
	settings, err := os.ReadFile(r.Settings)
	if err != nil {
		return nil, reject(err)
	}
	inForce, err := runOnOwner(ctx, m, func() ([]json.RawMessage, error) {
		var contents []json.RawMessage
		for _, managed := range m.sidecars {
			contents = append(contents, m.versions.content(managed.InForce))
		}
		return contents, nil
	})
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(string(m.data), ".check-")
	if err != nil {
		return nil, reject(err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover folder does no harm
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for i := range m.config.Sidecars {
		if err := checkRelease(ctx, m.config.Host, r, &m.config.Sidecars[i], inForce[i], dir); err != nil {
			return nil, reject(err)
		}
	}
	return &CheckResponse{settings}, nil
}

// checkRelease runs the program of a release to check the settings of one sidecar, which it writes to a file in dir.
func checkRelease(ctx context.Context, host Host, r release.Release, config *SidecarConfig, version []byte, dir string) error {
	text, err := config.releaseSettings(r, version)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, config.Name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	if output, err := host.CheckSettings(ctx, r.Program, path); err != nil {
		return fmt.Errorf("%s: its program does not take its settings for %s: %w: %s", r.ID, config.Name, err, output)
	}
	return nil
}
