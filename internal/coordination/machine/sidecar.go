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

// managedSidecar is one sidecar of the machine, with what its processes reported.
type managedSidecar struct {
	*agent.Sidecar
	config     *SidecarConfig
	savedState agent.PersistedState              // as it is on the disk
	probing    map[agent.Process]bool            // a probe of the process is under way
	counts     map[agent.Process]json.RawMessage // the last counts of each process that is alive
	lastReport distribute.Report                 // handed to the subscription
}

// runs reports whether a process is the serving or the next one.
func (s *managedSidecar) runs(p agent.Process) bool {
	return s.Serving != nil && *s.Serving == p || s.Next != nil && *s.Next == p
}

// nextAdminAddress is the operators' address of a process that is started beside the serving one.
func (s *managedSidecar) nextAdminAddress() string {
	for _, address := range s.config.AdminAddresses {
		if s.savedState.Serving == nil || s.savedState.Serving.AdminAddress != address {
			return address
		}
	}
	return ""
}

// restoreSidecar continues with the state of a sidecar that an earlier agent left, or begins with the release of the settings.
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
		return m.carryOut(managed, nil)
	}
	for _, version := range []distribute.Revision{managed.savedState.InForce, managed.savedState.Candidate} {
		if !m.versions.has(version) {
			return fmt.Errorf("%s: sidecar %s runs with it, and it is not there or damaged", m.versionFile(version), config.Name)
		}
	}
	found, err := m.findLastStart(managed)
	if err != nil {
		return err
	}
	phase := managed.savedState.Phase
	var actions []agent.Action
	managed.Sidecar, actions = agent.Restore(managed.savedState, m.config.Limits, m.now(), m.config.Host.Lives, found)
	m.adoptNewestVersion(managed)
	m.log.Info("sidecar restored", "sidecar", config.Name, "phase", phase.String(), "now", managed.Serving, "next", managed.Next,
		"found", found != nil)
	return m.carryOut(managed, actions)
}

// findLastStart returns the process of the last start that the state requested, if the state does not say what came of it. nil: the
// state says so, or the start was not made and cannot be made any more.
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

// carryOut saves the state of a sidecar and carries out its actions, with those that follow from them. The state is on the disk before
// each action. An error is one of the disk.
func (m *Machine) carryOut(managed *managedSidecar, actions []agent.Action) error {
	for first := true; first || len(actions) > 0; first = false {
		if err := m.saveState(managed); err != nil {
			return err
		}
		if len(actions) == 0 {
			break
		}
		action := actions[0]
		actions = append(actions[1:], m.carryOutOne(managed, action)...)
	}
	if err := m.saveState(managed); err != nil {
		return err
	}
	if report := managed.Report(managed.config.Name); report != managed.lastReport { // what is reported is on the disk
		managed.lastReport = report
		if m.subscription != nil {
			m.subscription.Report(report)
		}
	}
	return nil
}

// carryOutOne carries out one action and returns those that follow from it.
func (m *Machine) carryOutOne(managed *managedSidecar, action agent.Action) []agent.Action {
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

// stateName is the name of a sidecar's state in the data folder.
func (s *managedSidecar) stateName() string { return "sidecar-" + s.config.Name }

// saveState writes the state of a sidecar if it has changed.
func (m *Machine) saveState(managed *managedSidecar) error {
	saved, _ := json.Marshal(managed.savedState) // no field can fail
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

// cloneState returns a copy that shares no process with the original.
func cloneState(state agent.PersistedState) agent.PersistedState {
	for _, p := range []**agent.Process{&state.Serving, &state.Next, &state.Terminating} {
		if *p != nil {
			clone := **p
			*p = &clone
		}
	}
	return state
}

// startProcess starts a process of a release with a version of the configuration, and returns the actions that follow.
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

// launch writes the settings of a start and starts the program. The settings need not be synced: a failure of the machine ends the
// process as well, and its successor has settings of its own.
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
		Program: r.Program, Settings: settings, Temporary: m.data.path(temporaryFolder), AdminAddress: managed.nextAdminAddress(),
	})
}

// reloadProcess replaces the settings of a process by those with a version, and asks the process to read them. It returns their digest.
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
