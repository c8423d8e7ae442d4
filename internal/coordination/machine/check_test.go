package machine

import (
	"strings"
	"testing"

	"petrelhook/internal/common/peertest"
)

// A version is rejected if a rollout would refuse to run its settings beside the old ones. It is also rejected if servers or
// clients must change first, unless its author states that this was done.
func TestIncompatibility(t *testing.T) {
	old := `{"name":"n0","listen":"127.0.0.1:9","discovery":"127.0.0.1:8","seed":"1f","settings":` + peertest.Settings + `}`
	for name, c := range map[string]struct {
		oldText, newText string
		stepsDone        bool
		want             string
	}{
		"another discovery address":        {`"discovery":"127.0.0.1:8"`, `"discovery":"127.0.0.1:7"`, false, ""},
		"a shorter window":                 {`"window_ms": 2000`, `"window_ms": 1000`, false, "must not run side by side: settings.classes["},
		"a shorter window after the steps": {`"window_ms": 2000`, `"window_ms": 1000`, true, "must not run side by side: settings.classes["},
		"a longer window":                  {`"window_ms": 2000`, `"window_ms": 3000`, false, "--steps-done"},
		"a longer window after the steps":  {`"window_ms": 2000`, `"window_ms": 3000`, true, ""},
		"settings that are no JSON object": {`{"name"`, `["name"`, false, ""}, // the program reports the error
	} {
		got := incompatibility([]byte(old), []byte(strings.Replace(old, c.oldText, c.newText, 1)), c.stepsDone)
		if (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
