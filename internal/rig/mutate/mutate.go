// Package mutate takes a line that an argument needs out of the code and plays a test on what is left: one that does not notice shows
// nothing. Files are not changed; the compiler reads others in their place.
package mutate

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Mutant is one text of a file for another, and the test of a package that has to fail with it: file, from, to, package, test.
type Mutant [5]string

// Caught plays mutants, one at a time, from the module's root.
func Caught(t *testing.T, root string, all map[string]Mutant) {
	t.Helper()
	root, err := filepath.Abs(root)
	if err != nil {
		t.Fatal(err)
	}
	turn := make(chan struct{}, 1)
	for name, m := range all {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			turn <- struct{}{} // one at a time: others test processes meanwhile
			defer func() { <-turn }()
			file, from, to, pkg, test := m[0], m[1], m[2], m[3], m[4]
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
			list, _ := json.Marshal(map[string]any{"Replace": map[string]string{path: mutant}})
			if err := os.WriteFile(overlay, list, 0o600); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command("go", "test", "-count=1", "-timeout", "60s", "-overlay", overlay, "-run", "^"+test+"$", pkg)
			cmd.Dir = root
			out, err := cmd.CombinedOutput()
			if err == nil || !strings.Contains(string(out), "--- FAIL: "+test) {
				t.Errorf("%s does not notice: %v\n%s", test, err, out)
			}
		})
	}
}
