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

// Mutant is a replacement in a file of the module, and a test that has to fail with it: the file's path from the module's root, the text
// (which the file has once), its replacement, the package and the name of the test.
type Mutant [5]string

// Caught runs the test of each mutant in a subtest with its name, one at a time, and fails those whose test does not fail. root is the path
// of the module's root.
func Caught(t *testing.T, root string, all map[string]Mutant) {
	t.Helper()
	root, err := filepath.Abs(root)
	if err != nil {
		t.Fatal(err)
	}
	slot := make(chan struct{}, 1)
	for name, m := range all {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slot <- struct{}{} // one at a time: other packages are tested meanwhile
			defer func() { <-slot }()
			m.check(t, root)
		})
	}
}

// check fails unless the mutant's test fails.
func (m Mutant) check(t *testing.T, root string) {
	t.Helper()
	pkg, test := m[3], m[4]
	overlay := m.writeOverlay(t, root)
	cmd := exec.Command("go", "test", "-count=1", "-timeout", "60s", "-overlay", overlay, "-run", "^"+test+"$", pkg)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "--- FAIL: "+test) {
		t.Errorf("%s does not notice: %v\n%s", test, err, out)
	}
}

// writeOverlay writes the changed file and the overlay that has the compiler read it, and returns the overlay's path.
func (m Mutant) writeOverlay(t *testing.T, root string) string {
	t.Helper()
	file, from, to := m[0], m[1], m[2]
	path := filepath.Join(root, file)
	text, err := os.ReadFile(path)
	if err != nil || strings.Count(string(text), from) != 1 {
		t.Fatalf("%v: %q is %d times in %s", err, from, strings.Count(string(text), from), file)
	}
	dir := t.TempDir()
	mutant, overlay := filepath.Join(dir, "mutant.go"), filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(mutant, []byte(strings.Replace(string(text), from, to, 1)), 0o600); err != nil {
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
