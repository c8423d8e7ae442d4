package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"petrelhook/internal/command"
)

// Slips in an agent's file are errors with their place, and the example is good.
func TestBadFiles(t *testing.T) {
	example, err := os.ReadFile("../../deploy/agent.yaml")
	if err != nil {
		t.Fatal(err)
	}
	good := string(example)
	call := func(args ...string) (int, string) {
		var out bytes.Buffer
		return run(args, &out, &out), out.String()
	}
	if code, out := call("--check", "--config", "../../deploy/agent.yaml"); code != 0 || !strings.Contains(out, "2 sidecars of permits") {
		t.Errorf("%d %s", code, out)
	}
	path := filepath.Join(t.TempDir(), "a.yaml")
	for want, c := range map[string][2]string{
		"a.yaml:2:1: aplication: unknown field":                  {"application:", "aplication:"},
		"a.yaml:2:1: data: missing":                              {"data: /var/lib/petrelagent\n", ""},
		"a.yaml:2:1: release: missing":                           {"release: 0123", "#"},
		"a.yaml:2:1: listen: 10.0.0.1:7500 is not of loopback":   {"listen: 127.0.0.1:7500", "listen: 10.0.0.1:7500"},
		`a.yaml:3:9: listen: "here" is no address`:               {"listen: 127.0.0.1:7500", "listen: here"},
		`a.yaml:7:17: limits.ready: "6"; write a time`:           {"ready: 6s", "ready: 6"},
		"a.yaml:10:5: sidecars[1]: name n0 is in line 9 already": {"name: n1", "name: n0"},
		"a.yaml:10:5: sidecars[1]: 127.0.0.1:9600 is in line 9":  {"127.0.0.1:9602", "127.0.0.1:9600"},
		"a.yaml:9:5: sidecars[0].name: \"../x\"":                 {"name: n0", "name: ../x"},
		"a.yaml:9:58: sidecars[0].doors: 1 addresses; write two": {`["127.0.0.1:9600", "127.0.0.1:9601"]`, `["127.0.0.1:9600"]`},
		"a.yaml:9:5: sidecars[0].set.name: the agent writes it":  {`set: {seed: "1f"`, `set: {name: "1f"`},
		"a.yaml:9:5: sidecars[0]: write listen, and two doors":   {`listen: "127.0.0.1:8100", `, ""},
	} {
		text := strings.Replace(good, c[0], c[1], 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		code, out := call("--check", "--config", path)
		if code != 1 || !strings.Contains(out, want) || strings.Count(out, "\n") != 1 {
			t.Errorf("%d %s, want %s", code, out, want)
		}
	}
	if code, out := call(); code != command.ExitUsage || !strings.Contains(out, "--config") {
		t.Errorf("%d %s", code, out)
	}
}
