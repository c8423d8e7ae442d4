package machine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/release"
)

// checkTimeout bounds the check of settings by programs of releases.
const checkTimeout = 10 * time.Second

// maxConcurrentChecks bounds the checks that run at the same time: all sidecars of a machine get a version at the same moment.
const maxConcurrentChecks = 4

// versionCheck is a check of a version for one sidecar, with copies of all that it needs: it runs beside the owner.
type versionCheck struct {
	agent.Check
	host       Host
	config     *SidecarConfig
	candidate  distribute.Version
	inForce    []byte // the content of the version in force; nil: none
	servedFile string // the settings file of the serving process; "": none serves
	checkFile  string // where the settings that are checked are written
}

// checkInBackground checks a version beside the owner and reports the result to the sidecar.
func (m *Machine) checkInBackground(managed *managedSidecar, check agent.Check) {
	c := versionCheck{Check: check, host: m.config.Host, config: managed.config, candidate: m.versions.byRevision[check.Version],
		inForce: m.versions.content(managed.InForce), checkFile: m.data.path("checked-" + managed.config.Name + ".json")}
	if check.Process.StartNumber != 0 {
		c.servedFile = m.startFile(managed, configFile, check.Process.StartNumber)
	}
	m.background.Go(func() {
		select {
		case m.checkSlots <- struct{}{}:
		case <-m.runContext.Done():
			return
		}
		defer func() { <-m.checkSlots }()
		result := c.run(m.runContext, m.store)
		m.post(func() error { return m.carryOut(managed, managed.CheckCompleted(m.now(), check, result)) })
	})
}

// run has the program of each release check the version.
func (c *versionCheck) run(ctx context.Context, store *release.Store) (all agent.CheckResult) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for i, id := range c.Releases {
		if id == "" {
			continue
		}
		result := c.checkRelease(ctx, store, release.ID(id), i == 0)
		if result.Rejection != "" || result.Unavailable != "" {
			return result
		}
		all.Reloadable = all.Reloadable || result.Reloadable
	}
	return all
}

// checkRelease has the program of one release check the version. The first release is the one that runs, if one does; a result for
// another one says that it is the confirmed release.
func (c *versionCheck) checkRelease(ctx context.Context, store *release.Store, id release.ID, first bool) (result agent.CheckResult) {
	unavailable := func(err error) agent.CheckResult { return agent.CheckResult{Unavailable: err.Error()} }
	r, err := store.Open(id)
	if err != nil {
		return unavailable(err)
	}
	settings, err := os.ReadFile(r.Settings)
	if err != nil {
		return unavailable(err)
	}
	before, err := c.config.settings(settings, c.inForce)
	if err != nil {
		return unavailable(err)
	}
	after, err := c.config.settings(settings, c.candidate.Content)
	if err != nil {
		return agent.CheckResult{Rejection: err.Error()}
	}
	if first && c.servedFile != "" {
		result.Reloadable = reloadable(c.servedFile, after)
	}
	var lines bytes.Buffer // one field a line, so that the program can name a place
	if err := json.Indent(&lines, after, "", " "); err != nil {
		return unavailable(err)
	}
	if err := os.WriteFile(c.checkFile, lines.Bytes(), 0o600); err != nil {
		return unavailable(err)
	}
	output, err := c.host.CheckSettings(ctx, r.Program, c.checkFile)
	var failed *ProgramError
	switch {
	case err == nil:
		if why := incompatibility(before, after, c.candidate.StepsDone); why != "" {
			return agent.CheckResult{Rejection: why}
		}
		return result
	case ctx.Err() == nil && errors.As(err, &failed):
		if output == "" {
			output = fmt.Sprintf("%s: its program ends with %v", id, err)
		}
		if !first {
			output = fmt.Sprintf("%s, which is confirmed: %s", id, output)
		}
		return agent.CheckResult{Rejection: output}
	}
	return agent.CheckResult{Unavailable: fmt.Sprintf("%s: its program was not asked: %v", id, errors.Join(ctx.Err(), err))}
}

// incompatibility says why processes with two settings must not run side by side; "": they may. They do while a version is applied: at
// each sidecar during a trial, and over all sidecars for longer.
func incompatibility(before, after []byte, stepsDone bool) string {
	findings, err := release.Compare(before, after)
	if err != nil { // the program says where the settings are wrong
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

// reloadable reports whether a process that was started with a file can reload for other settings: it reads again only the field that
// says where its servers are listed.
func reloadable(file string, settings []byte) bool {
	current, err := os.ReadFile(file)
	if err != nil {
		return false
	}
	fields, err := differingFields(current, settings)
	return err == nil && !slices.ContainsFunc(fields, func(name string) bool { return name != "discovery" })
}
