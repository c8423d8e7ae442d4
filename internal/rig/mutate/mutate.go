// Package mutate tests tests: it replaces a line of the code that an argument needs, and runs the test that has to fail then. A test that
// passes all the same shows nothing. Files are not changed; the compiler reads others in their place (go test -overlay).
package mutate

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Mutant is a replacement in a file of the module, and a test that has to fail with it.
type Mutant struct {
	File        string // its path from the module's root
	Text        string // the file has it once
	Replacement string
	Package     string // of the test, as go test takes it
	Test        string // the name of the function
}

// maxConcurrent bounds the mutants of a package that are tested at the same time: other packages are tested meanwhile.
const maxConcurrent = 3

// Caught runs the test of each mutant in a subtest with its name, some at a time, and fails those whose test does not fail. root is the path
// of the module's root.
func Caught(t *testing.T, root string, all map[string]Mutant) {
	t.Helper()
	root, err := filepath.Abs(root)
	if err != nil {
		t.Fatal(err)
	}
	slots := make(chan struct{}, maxConcurrent)
	for name, m := range all {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			m.check(t, root)
		})
	}
}

// check fails unless the mutant's test fails.
func (m Mutant) check(t *testing.T, root string) {
	t.Helper()
	overlay := m.writeOverlay(t, root)
	cmd := exec.Command("go", "test", "-count=1", "-timeout", "60s", "-overlay", overlay, "-run", "^"+m.Test+"$", m.Package)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "--- FAIL: "+m.Test) {
		t.Errorf("%s does not notice: %v\n%s", m.Test, err, out)
	}
}

// writeOverlay writes the changed file and the overlay that has the compiler read it, and returns the overlay's path.
func (m Mutant) writeOverlay(t *testing.T, root string) string {
	t.Helper()
	path := filepath.Join(root, m.File)
	text, err := os.ReadFile(path)
	if err != nil || strings.Count(string(text), m.Text) != 1 {
		t.Fatalf("%v: %q is %d times in %s", err, m.Text, strings.Count(string(text), m.Text), m.File)
	}
	dir := t.TempDir()
	mutant, overlay := filepath.Join(dir, "mutant.go"), filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(mutant, []byte(strings.Replace(string(text), m.Text, m.Replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	list, err := json.Marshal(map[string]any{"Replace": map[string]string{path: mutant}})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(overlay, list, 0o600); err != nil {
		t.Fatal(err)
	}
	return overlay
}
