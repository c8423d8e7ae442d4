package machine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/sidecar/counts"
)

// Versions are kept each in a file of its own, as it was told: version-N.json, N the revision. A sidecar's own file
// says by revision which it runs with. The newest is what this machine holds: an older one never gets in again, also
// after a new start of the agent.

const versionName = "version-"

func (m *Machine) versionFile(r distribute.Revision) string {
	return filepath.Join(m.config.Data, fmt.Sprintf("%s%d.json", versionName, r))
}

// readVersions reads what is kept. A damaged file counts as none: what it held is told again, and a sidecar that runs
// with it says so.
func (m *Machine) readVersions() error {
	files, err := filepath.Glob(filepath.Join(m.config.Data, versionName+"*.json"))
	if err != nil {
		return err
	}
	for _, path := range files {
		name, _ := strings.CutSuffix(strings.TrimPrefix(filepath.Base(path), versionName), ".json")
		n, err := strconv.ParseUint(name, 10, 64)
		if err != nil {
			continue
		}
		var v distribute.Version
		text, err := os.ReadFile(path)
		if err == nil {
			err = json.Unmarshal(text, &v)
		}
		if err == nil && v.Service != m.config.Application {
			return fmt.Errorf("%s: it is of %s, and this agent is of %s; write another folder for data",
				path, v.Service, m.config.Application)
		}
		if err == nil && (v.Revision != distribute.Revision(n) || distribute.Digest(v.Content) != v.Digest) {
			err = distribute.ErrBroken
		}
		if err != nil {
			m.log.Warn("a version is not read", "file", path, "err", err)
			continue
		}
		m.versions[v.Revision], m.newestVersion = v, max(m.newestVersion, v.Revision)
	}
	return nil
}

// acceptVersion takes in a newer version, which is on the disk when it returns. The subscription calls it.
func (m *Machine) acceptVersion(v distribute.Version) error {
	_, err := owned(m.runContext, m, func() (struct{}, error) {
		content, err := distribute.Canonical(v.Content)
		switch {
		case v.Service != m.config.Application:
			return struct{}{}, distribute.ErrForeign
		case v.Revision <= m.newestVersion:
			return struct{}{}, distribute.ErrOlder
		case err != nil || distribute.Digest(content) != v.Digest:
			return struct{}{}, distribute.ErrBroken
		}
		v.Content = content
		if err := m.writeState(fmt.Sprint(versionName, v.Revision), v); err != nil {
			return struct{}{}, asDiskError(err)
		}
		m.versions[v.Revision], m.newestVersion = v, v.Revision
		for _, u := range m.sidecars {
			m.adoptNewestVersion(u)
			if err := m.carryOut(u, u.Tick(m.now())); err != nil {
				return struct{}{}, asDiskError(err)
			}
		}
		m.removeOldVersions()
		return struct{}{}, nil
	})
	return err
}

// adoptNewestVersion has a sidecar brought to the newest version. Where nobody tells versions any more what is in force stays, and
// nothing else goes in.
func (m *Machine) adoptNewestVersion(u *managedSidecar) {
	if m.subscription != nil {
		u.SetNewestVersion(m.newestVersion)
	}
}

// removeOldVersions removes what no sidecar runs or tries, but the newest.
func (m *Machine) removeOldVersions() {
	for r := range m.versions {
		if r != m.newestVersion && !slices.ContainsFunc(m.sidecars, func(u *managedSidecar) bool { return u.InForce == r || u.Candidate == r }) {
			delete(m.versions, r)
			os.Remove(m.versionFile(r))
		}
	}
}

// reportedDigest is of the file that a process says it has read last; "": it does not say.
func reportedDigest(document []byte) string {
	var t struct {
		File counts.File `json:"file"`
	}
	if json.Unmarshal(document, &t) != nil { // as earlier versions tell
		return ""
	}
	return t.File.Digest
}

func (m *Machine) configFile(u *managedSidecar, p agent.Process) string {
	return m.startFile(u, "config", p.StartNumber)
}

// reloadProcess replaces the file of a process by one with a version, and asks it to read that.
func (m *Machine) reloadProcess(u *managedSidecar, p agent.Process, version distribute.Revision) (string, error) {
	r, err := m.store.Open(release.ID(p.Release))
	if err != nil {
		return "", err
	}
	text, err := mergedSettings(u.config, r, m.versions[version].Content)
	if err == nil {
		err = replaceFile(m.configFile(u, p), text)
	}
	if err != nil {
		return "", err
	}
	signal(p, syscall.SIGHUP)
	return distribute.Digest(text), nil
}

// maxConcurrentChecks is how many checks run at the same time: a machine's sidecars all get a version at once.
const maxConcurrentChecks = 4

// checkInBackground has a version checked, beside the owner.
func (m *Machine) checkInBackground(u *managedSidecar, c agent.Check) {
	is, was := m.versions[c.Version], m.versions[u.InForce].Content
	m.background.Go(func() {
		select {
		case m.checkSlots <- struct{}{}:
		case <-m.runContext.Done():
			return
		}
		defer func() { <-m.checkSlots }()
		v := m.checkVersion(m.runContext, u, c, was, is)
		m.post(func() error { return m.carryOut(u, u.CheckCompleted(m.now(), c, v)) })
	})
}

// checkVersion asks the program of each release, and looks how the version goes in.
func (m *Machine) checkVersion(
	ctx context.Context, u *managedSidecar, c agent.Check, was []byte, is distribute.Version,
) (v agent.CheckResult) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for i, id := range c.Releases {
		if id == "" {
			continue
		}
		r, err := m.store.Open(release.ID(id))
		if err != nil {
			return agent.CheckResult{Unavailable: err.Error()}
		}
		text, err := os.ReadFile(r.Settings)
		if err != nil {
			return agent.CheckResult{Unavailable: err.Error()}
		}
		before, err := u.config.settings(text, was)
		if err != nil {
			return agent.CheckResult{Unavailable: err.Error()}
		}
		if text, err = u.config.settings(text, is.Content); err != nil {
			return agent.CheckResult{Rejection: err.Error()}
		}
		if i == 0 && c.Process.StartNumber != 0 {
			v.Reloadable = reloadable(m.configFile(u, c.Process), text)
		}
		var lines bytes.Buffer // a place in it is to be found
		json.Indent(&lines, text, "", " ")
		path := filepath.Join(m.config.Data, "checked-"+u.config.Name+".json")
		if err := os.WriteFile(path, lines.Bytes(), 0o600); err != nil {
			return agent.CheckResult{Unavailable: err.Error()}
		}
		cmd := exec.CommandContext(ctx, r.Program, "--check", "--config", path)
		cmd.WaitDelay = time.Second
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		switch {
		case err == nil:
			if why := incompatibility(before, text, is.StepsDone); why != "" {
				return agent.CheckResult{Rejection: why}
			}
		case ctx.Err() == nil && errors.As(err, &exit) && exit.Exited():
			said := strings.TrimSpace(string(out))
			if said == "" {
				said = fmt.Sprintf("%s: its program ends with %v", id, err)
			}
			if i > 0 {
				said = fmt.Sprintf("%s, which is confirmed: %s", id, said)
			}
			return agent.CheckResult{Rejection: said}
		default:
			return agent.CheckResult{Unavailable: fmt.Sprintf("%s: its program was not asked: %v", id, errors.Join(ctx.Err(), err))}
		}
	}
	return v
}

// incompatibility says why two settings must not be in use side by side; "": they may. While a version goes in they are, at
// each sidecar for the time of a trial and over all of them for longer.
func incompatibility(old, new []byte, stepsDone bool) string {
	findings, err := release.Compare(old, new)
	if err != nil { // the program says where
		return ""
	}
	for _, f := range findings {
		switch {
		case f.Kind == release.Refused:
			return fmt.Sprintf("old and new must not run side by side: %v", f)
		case f.Kind == release.TwoSteps && !stepsDone:
			return fmt.Sprintf("%v; publish it with --steps-done once that was done", f)
		}
	}
	return ""
}

// reloadable reports whether a process that began with a file takes other settings as it runs: no more differs than where
// its servers are listed.
func reloadable(file string, settings []byte) bool {
	was, err := os.ReadFile(file)
	if err != nil {
		return false
	}
	fields, err := differingFields(was, settings)
	return err == nil && !slices.ContainsFunc(fields, func(name string) bool { return name != "discovery" })
}
