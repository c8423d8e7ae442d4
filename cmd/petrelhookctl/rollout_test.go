package main

import (
	"os/exec"
	"strings"
	"testing"

	"petrelhook/internal/common/peertest"
)

// Checks the verdicts and exit codes of rollout plan, for valid and invalid configurations and for programs that accept them, refuse them or
// do not exist.
func TestRolloutPlan(t *testing.T) {
	text := `{"name":"n0","listen":"127.0.0.1:9","discovery":"127.0.0.1:8","seed":"1f","settings":` + peertest.Settings + `}`
	old := writeFile(t, "old.json", text)
	writeChanged := func(from, to string) string { return writeFile(t, "new.json", strings.Replace(text, from, to, 1)) }
	failingProgram, err := exec.LookPath("false")
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"side by side":  {[]string{"--from", old, "--to", writeChanged(`"seed":"1f"`, `"seed":"2f"`), "--program", buildSidecar(t)}, 0, "the change: side by side"},
		"two steps":     {[]string{"--from", old, "--to", writeChanged(`"window_ms": 2000`, `"window_ms": 3000`)}, 1, "first servers must remember"},
		"refused":       {[]string{"--from", old, "--to", writeChanged(`"window_ms": 2000`, `"window_ms": 1000`), "--output", "json"}, 1, `"verdict": "refused"`},
		"bad settings":  {[]string{"--from", old, "--to", writeChanged(`"read_like"`, `"maybe"`)}, 1, "new.json:"},
		"a bad program": {[]string{"--from", old, "--to", writeChanged("", ""), "--program", failingProgram}, 1, "does not accept"},
		"no program":    {[]string{"--from", old, "--to", old, "--program", "/none"}, 1, "/none"},
		"missing":       {[]string{"--from", old}, 2, "--to: missing"},
	} {
		code, out, errs := call(t.Context(), append([]string{"rollout", "plan"}, c.args...)...)
		if code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("%s: %d %q %q, want %d %q", name, code, out, errs, c.code, c.want)
		}
	}
}
