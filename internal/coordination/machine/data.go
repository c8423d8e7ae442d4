package machine

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"petrelhook/internal/coordination/agent"
)

// The kinds of files that each start of a sidecar has; see Machine.startFile.
const (
	claimFile  = "start"  // identifies the process of the start; see ClaimStart
	configFile = "config" // the settings file of its program
	logFile    = "log"    // the output of its program
)

// temporaryFolder is the folder in the data folder for the temporary files of sidecars.
const temporaryFolder = "tmp"

// retainedStarts is the number of starts whose files are kept for debugging.
const retainedStarts = 8

// dataFolder is the path of the folder with the agent's state.
type dataFolder string

func (d dataFolder) path(name string) string { return filepath.Join(string(d), name) }

// readJSON reads the value that writeJSON stored under a name. found is false if there is none.
func (d dataFolder) readJSON(name string, v any) (found bool, err error) {
	path := d.path(name + ".json")
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err == nil {
		err = json.Unmarshal(text, v)
	}
	if err != nil {
		return false, fmt.Errorf("%s: %w", path, err)
	}
	return true, nil
}

// writeJSON stores a value under a name, in place of an earlier one. It is on the disk when writeJSON returns.
func (d dataFolder) writeJSON(name string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return replaceFile(d.path(name+".json"), text)
}

// replaceFile replaces a file atomically and durably: a reader finds the complete old or new content, also after a crash of the
// machine.
func replaceFile(path string, text []byte) error {
	f, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// startFile returns the path of the file of a kind that belongs to one start of a sidecar.
func (m *Machine) startFile(managed *managedSidecar, kind string, startNumber uint64) string {
	return m.data.path(fmt.Sprintf("%s-%s-%d", kind, managed.config.Name, startNumber))
}

// lastStartFile returns the path of the file of a kind that belongs to the last start of a sidecar.
func (m *Machine) lastStartFile(managed *managedSidecar, kind string) string {
	return m.startFile(managed, kind, managed.StartCount)
}

// removeOldFiles removes the files of old starts, except those of a running process, which may reload its settings. A file that
// cannot be removed does no harm; the next start tries again.
func (m *Machine) removeOldFiles(managed *managedSidecar) {
	entries, _ := os.ReadDir(string(m.data))
	for _, e := range entries {
		for _, kind := range []string{claimFile, configFile, logFile} {
			rest, ok := strings.CutPrefix(e.Name(), kind+"-"+managed.config.Name+"-")
			startNumber, err := strconv.ParseUint(rest, 10, 64)
			if !ok || err != nil || startNumber+retainedStarts > managed.StartCount {
				continue
			}
			isStart := func(p *agent.Process) bool { return p != nil && p.StartNumber == startNumber }
			if !slices.ContainsFunc([]*agent.Process{managed.Serving, managed.Next, managed.Terminating}, isStart) {
				_ = os.Remove(m.data.path(e.Name()))
			}
		}
	}
}
