package machine

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"petrelhook/internal/coordination/distribute"
)

// versionStore holds the versions of the configuration that are on the disk. Each is in the form in which it was received, in a
// file version-N.json, where N is its revision. The state of a sidecar refers to its version by revision. A version is accepted
// only if it is newer than the newest stored one, also after a restart of the agent.
type versionStore struct {
	byRevision map[distribute.Revision]distribute.Version
	newest     distribute.Revision // 0 if there is none
}

// has reports whether a version is stored. It returns true for revision 0, which means the settings of a release without a
// version.
func (v *versionStore) has(revision distribute.Revision) bool {
	_, known := v.byRevision[revision]
	return known || revision == 0
}

// content returns the content of a version, or nil for revision 0 and versions that are not stored.
func (v *versionStore) content(revision distribute.Revision) json.RawMessage {
	return v.byRevision[revision].Content
}

func (v *versionStore) add(version distribute.Version) {
	v.byRevision[version.Revision], v.newest = version, max(v.newest, version.Revision)
}

const versionName = "version-"

func (m *Machine) versionFile(revision distribute.Revision) string {
	return m.data.path(fmt.Sprintf("%s%d.json", versionName, revision))
}

// loadVersions reads the versions on the disk. A damaged file is skipped: the coordinators send the version again, and
// restoreSidecar returns an error if a sidecar runs with the damaged version. loadVersions returns an error if a version belongs
// to another service.
func (m *Machine) loadVersions() error {
	files, err := filepath.Glob(m.data.path(versionName + "*.json"))
	if err != nil {
		return err
	}
	for _, path := range files {
		name, _ := strings.CutSuffix(strings.TrimPrefix(filepath.Base(path), versionName), ".json")
		revision, err := strconv.ParseUint(name, 10, 64)
		if err != nil {
			continue // not the file of a version
		}
		version, err := readVersion(path)
		if err == nil && version.Service != m.config.Application {
			return fmt.Errorf("%s: a version of service %s, but this agent runs application %s; configure another data folder",
				path, version.Service, m.config.Application)
		}
		if err == nil && (version.Revision != distribute.Revision(revision) || distribute.Digest(version.Content) != version.Digest) {
			err = distribute.ErrDigestMismatch
		}
		if err != nil {
			m.log.Warn("a version is not read", "file", path, "err", err)
			continue
		}
		m.versions.add(version)
	}
	return nil
}

func readVersion(path string) (version distribute.Version, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &version)
	}
	return version, err
}

// acceptVersion stores a newer version, and makes it the target of the sidecars. The version is on the disk when acceptVersion
// returns nil. The subscription calls acceptVersion from the subscription's goroutine.
func (m *Machine) acceptVersion(v distribute.Version) error {
	_, err := runOnOwner(m.runContext, m, func() (struct{}, error) {
		content, err := distribute.Canonical(v.Content)
		switch {
		case v.Service != m.config.Application:
			return struct{}{}, distribute.ErrWrongService
		case v.Revision <= m.versions.newest:
			return struct{}{}, distribute.ErrNotNewer
		case err != nil || distribute.Digest(content) != v.Digest:
			return struct{}{}, distribute.ErrDigestMismatch
		}
		v.Content = content
		if err := m.data.writeJSON(fmt.Sprint(versionName, v.Revision), v); err != nil {
			return struct{}{}, asDiskError(err)
		}
		m.versions.add(v)
		for _, managed := range m.sidecars {
			m.adoptNewestVersion(managed)
			if err := m.execute(managed, managed.Tick(m.now())); err != nil {
				return struct{}{}, asDiskError(err)
			}
		}
		m.removeOldVersions()
		return struct{}{}, nil
	})
	return err
}

// adoptNewestVersion makes the newest version the target of a sidecar. An agent without coordinators keeps the version in force.
func (m *Machine) adoptNewestVersion(managed *managedSidecar) {
	if m.subscription != nil {
		managed.SetNewestVersion(m.versions.newest)
	}
}

// removeOldVersions removes the versions that no sidecar uses, except the newest. A file that cannot be removed does no harm: the
// old version is loaded again at the next start and not used.
func (m *Machine) removeOldVersions() {
	for revision := range m.versions.byRevision {
		inUse := func(s *managedSidecar) bool { return s.InForce == revision || s.Candidate == revision }
		if revision != m.versions.newest && !slices.ContainsFunc(m.sidecars, inUse) {
			delete(m.versions.byRevision, revision)
			_ = os.Remove(m.versionFile(revision))
		}
	}
}
