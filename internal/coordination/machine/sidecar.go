package machine

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"syscall"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/release"
)

// managedSidecar is one sidecar of the machine, with the results of the probes of its processes. The goroutine that owns the
// machine owns it.
type managedSidecar struct {
	*agent.Sidecar
	config     *SidecarConfig
	savedState agent.PersistedState              // the state on the disk
	probing    map[agent.Process]bool            // the processes with a probe in flight
	counts     map[agent.Process]json.RawMessage // the last counts that each running process reported
	lastReport distribute.Report                 // the last report that was passed to the subscription
}

// runs reports whether p is the serving or the next process.
func (s *managedSidecar) runs(p agent.Process) bool {
	return s.Serving != nil && *s.Serving == p || s.Next != nil && *s.Next == p
}

// nextAdminAddress returns the address of the operators' endpoint for a process that is started beside the serving one.
func (s *managedSidecar) nextAdminAddress() string {
	for _, address := range s.config.AdminAddresses {
		if s.savedState.Serving == nil || s.savedState.Serving.AdminAddress != address {
			return address
		}
	}
	return ""
}

// restoreSidecar restores a sidecar from the state that an earlier agent persisted. A sidecar without state begins with the
// release in the agent's settings.
func (m *Machine) restoreSidecar(config *SidecarConfig) error {
	managed := &managedSidecar{config: config, probing: map[agent.Process]bool{}, counts: map[agent.Process]json.RawMessage{}}
	m.sidecars = append(m.sidecars, managed)
	known, err := m.data.readJSON(managed.stateName(), &managed.savedState)
	if err != nil {
		return err
	}
	if !known {
		if _, err := m.store.Open(release.ID(m.config.Release)); err != nil {
			return err
		}
		managed.Sidecar = agent.New(m.config.Release, m.config.Limits)
		m.adoptNewestVersion(managed)
		return m.execute(managed, nil)
	}
	for _, version := range []distribute.Revision{managed.savedState.InForce, managed.savedState.Candidate} {
		if !m.versions.has(version) {
			return fmt.Errorf("%s: missing or damaged, but sidecar %s runs with this version", m.versionFile(version), config.Name)
		}
	}
	found, err := m.findLastStart(managed)
	if err != nil {
		return err
	}
	phase := managed.savedState.Phase
	var actions []agent.Action
	managed.Sidecar, actions = agent.Restore(managed.savedState, m.config.Limits, m.now(), m.config.Host.IsRunning, found)
	m.adoptNewestVersion(managed)
	m.log.Info("sidecar restored", "sidecar", config.Name, "phase", phase.String(), "now", managed.Serving, "next", managed.Next,
		"found", found != nil)
	return m.execute(managed, actions)
}

// findLastStart returns the process of the last start that the state requested, if the state does not record the outcome. It
// returns nil if the state does record it, or if the start created no process; then it never will.
func (m *Machine) findLastStart(managed *managedSidecar) (*agent.Process, error) {
	state := &managed.savedState
	undecided := state.Serving == nil || state.Phase == agent.Starting && state.Next == nil
	if state.StartCount == 0 || !undecided {
		return nil, nil
	}
	found, err := resolveStart(m.startFile(managed, claimFile, state.StartCount))
	if found == nil || err != nil {
		return nil, err
	}
	found.Release, found.AdminAddress, found.StartNumber = state.Target, managed.nextAdminAddress(), state.StartCount
	if state.Target == "" {
		found.Release = state.Confirmed
	}
	return found, nil
}

// execute saves the state of a sidecar, and executes actions and the further actions that result from them. The state is saved
// before each action, and before it is reported to the coordinators. A returned error is always a disk error.
func (m *Machine) execute(managed *managedSidecar, actions []agent.Action) error {
	for first := true; first || len(actions) > 0; first = false {
		if err := m.saveState(managed); err != nil {
			return err
		}
		if len(actions) == 0 {
			break
		}
		action := actions[0]
		actions = append(actions[1:], m.executeOne(managed, action)...)
	}
	if err := m.saveState(managed); err != nil {
		return err
	}
	if report := managed.Report(managed.config.Name); report != managed.lastReport { // the reported state was saved above
		managed.lastReport = report
		if m.subscription != nil {
			m.subscription.Report(report)
		}
	}
	return nil
}

// executeOne executes one action and returns the actions that result from it.
func (m *Machine) executeOne(managed *managedSidecar, action agent.Action) []agent.Action {
	switch {
	case action.Start != "":
		return m.startProcess(managed, action.Start, action.Version)
	case action.Term != nil:
		m.config.Host.Signal(*action.Term, syscall.SIGTERM)
	case action.Kill != nil:
		m.config.Host.Signal(*action.Kill, syscall.SIGKILL)
	case action.Reload != nil:
		digest, err := m.reloadProcess(managed, *action.Reload, action.Version)
		managed.ReloadRequested(m.now(), *action.Reload, digest, err)
	case action.Check != nil:
		m.checkInBackground(managed, *action.Check)
	}
	return nil
}

// stateName returns the name of a sidecar's state in the data folder.
func (s *managedSidecar) stateName() string { return "sidecar-" + s.config.Name }

// saveState writes the state of a sidecar if it has changed.
func (m *Machine) saveState(managed *managedSidecar) error {
	saved, _ := json.Marshal(managed.savedState) // no field can fail to marshal
	state, _ := json.Marshal(managed.PersistedState)
	if string(saved) == string(state) {
		return nil
	}
	if err := m.data.writeJSON(managed.stateName(), managed.PersistedState); err != nil {
		return err
	}
	if managed.savedState.Phase != managed.Phase || managed.savedState.CompletedOrder != managed.CompletedOrder {
		m.log.Info("sidecar", "name", managed.config.Name, "phase", managed.Phase.String(), "order", managed.Order,
			"done", managed.CompletedOrder, "failed", managed.FailureReason, "fell", managed.FallbackReason)
	}
	if now := managed.ConfigurationState; managed.savedState.ConfigurationState != now {
		m.log.Info("configuration", "sidecar", managed.config.Name, "in_force", uint64(now.InForce), "trying", uint64(now.Candidate),
			"live", now.ByReload, "refused", uint64(now.Rejected), "why", now.RejectionReason)
	}
	managed.savedState = cloneState(managed.PersistedState)
	return nil
}

// cloneState returns a deep copy of a state.
func cloneState(state agent.PersistedState) agent.PersistedState {
	for _, p := range []**agent.Process{&state.Serving, &state.Next, &state.Terminating} {
		if *p != nil {
			clone := **p
			*p = &clone
		}
	}
	return state
}

// startProcess starts a process of a release with a version of the configuration, and returns the actions that result.
func (m *Machine) startProcess(managed *managedSidecar, id string, version distribute.Revision) []agent.Action {
	p, err := m.launch(managed, release.ID(id), version)
	if err != nil {
		m.log.Warn("not started", "sidecar", managed.config.Name, "release", id, "err", err)
		if errors.Is(err, release.ErrNotFound) {
			managed.ReleaseMissing(id)
		}
		return managed.StartFailed(m.now(), err.Error())
	}
	p.Release, p.StartNumber = id, managed.StartCount
	m.log.Info("started", "sidecar", managed.config.Name, "release", id, "pid", p.PID)
	return managed.ProcessStarted(m.now(), p)
}

// launch writes the settings file of a start and starts the program. The file need not be synced: a crash of the machine ends the
// process as well, and the next process gets its own file.
func (m *Machine) launch(managed *managedSidecar, id release.ID, version distribute.Revision) (agent.Process, error) {
	r, err := m.store.Open(id)
	if err != nil {
		return agent.Process{}, err
	}
	text, err := managed.config.releaseSettings(r, m.versions.content(version))
	if err != nil {
		return agent.Process{}, err
	}
	settings := m.lastStartFile(managed, configFile)
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		return agent.Process{}, err
	}
	m.removeOldFiles(managed)
	return m.config.Host.Start(StartOptions{
		ClaimFile: m.lastStartFile(managed, claimFile), LogFile: m.lastStartFile(managed, logFile),
		Program: r.Program, Settings: settings, TempDir: m.data.path(temporaryFolder), AdminAddress: managed.nextAdminAddress(),
	})
}

// reloadProcess replaces the settings file of a process by one with a version of the configuration, and sends the process SIGHUP
// to reload it. It returns the digest of the new settings.
func (m *Machine) reloadProcess(managed *managedSidecar, p agent.Process, version distribute.Revision) (string, error) {
	r, err := m.store.Open(release.ID(p.Release))
	if err != nil {
		return "", err
	}
	text, err := managed.config.releaseSettings(r, m.versions.content(version))
	if err == nil {
		err = replaceFile(m.startFile(managed, configFile, p.StartNumber), text)
	}
	if err != nil {
		return "", err
	}
	m.config.Host.Signal(p, syscall.SIGHUP)
	return distribute.Digest(text), nil
}
