package machine

import (
	"strings"
	"testing"

	"petrelhook/internal/common/peertest"
)

// A version is rejected for what a rollout refuses side by side, and for what needs a step elsewhere first unless its author says that the
// step was done.
func TestIncompatibility(t *testing.T) {
	old := `{"name":"n0","listen":"127.0.0.1:9","discovery":"127.0.0.1:8","seed":"1f","settings":` + peertest.Settings + `}`
	for name, c := range map[string]struct {
		from, to string
		done     bool
		want     string
	}{
		"harmless":               {`"discovery":"127.0.0.1:8"`, `"discovery":"127.0.0.1:7"`, false, ""},
		"a shorter window":       {`"window_ms": 2000`, `"window_ms": 1000`, false, "must not run side by side: settings.classes["},
		"and it is not to be":    {`"window_ms": 2000`, `"window_ms": 1000`, true, "must not run side by side: settings.classes["},
		"a longer one":           {`"window_ms": 2000`, `"window_ms": 3000`, false, "--steps-done"},
		"that servers remember":  {`"window_ms": 2000`, `"window_ms": 3000`, true, ""},
		"what is no JSON object": {`{"name"`, `["name"`, false, ""}, // the program says where
	} {
		got := incompatibility([]byte(old), []byte(strings.Replace(old, c.from, c.to, 1)), c.done)
		if (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
