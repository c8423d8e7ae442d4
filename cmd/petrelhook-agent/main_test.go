package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/common/command"
	"petrelhook/internal/rig/bubble"
)

// Each mistake in an agent's file must be reported in one line with its position, and the example file must be valid.
func TestInvalidFiles(t *testing.T) {
	example, err := os.ReadFile("../../deploy/agent.yaml")
	if err != nil {
		t.Fatal(err)
	}
	good := strings.Replace(string(example), "# configuration:", "configuration:", 1) // the example has this line commented out
	call := func(args ...string) (int, string) {
		var out bytes.Buffer
		return run(args, &out, &out), out.String()
	}
	if code, out := call("--check", "--config", "../../deploy/agent.yaml"); code != 0 || !strings.Contains(out, "2 sidecars of permits") {
		t.Errorf("%d %s", code, out)
	}
	path := filepath.Join(t.TempDir(), "a.yaml")
	for want, replacement := range map[string][2]string{
		"a.yaml:2:1: memory_mb: -1 is below 0; write a number of MB":         {"releases: /var", "memory_mb: -1\nreleases: /var"},
		"a.yaml:2:1: app: unknown field":                                     {"application:", "app:"},
		"a.yaml:2:1: data: missing":                                          {"data: /var/lib/petrelagent\n", ""},
		"a.yaml:2:1: release: missing":                                       {"release: 0123", "#"},
		"a.yaml:2:1: listen: 10.0.0.1:7500 is not a loopback address":        {"listen: 127.0.0.1:7500", "listen: 10.0.0.1:7500"},
		`a.yaml:3:9: listen: "here" is no address`:                           {"listen: 127.0.0.1:7500", "listen: here"},
		`a.yaml:7:25: limits.ready_timeout: "6"; write a time`:               {"ready_timeout: 6s", "ready_timeout: 6"},
		"a.yaml:10:5: sidecars[1]: name n0 is already used in line 9":        {"name: n1", "name: n0"},
		"a.yaml:10:5: sidecars[1]: 127.0.0.1:9600 is already used in line 9": {"127.0.0.1:9602", "127.0.0.1:9600"},
		"a.yaml:9:5: sidecars[0].name: \"../x\"":                             {"name: n0", "name: ../x"},
		"a.yaml:9:68: sidecars[0].admin_addresses: 1 addresses; write two":   {`["127.0.0.1:9600", "127.0.0.1:9601"]`, `["127.0.0.1:9600"]`},
		"a.yaml:9:5: sidecars[0].set.name: the agent writes it":              {`set: {seed: "1f"`, `set: {name: "1f"`},
		"a.yaml:9:5: sidecars[0]: write listen, and two admin_addresses":     {`listen: "127.0.0.1:8100", `, ""},

		"a.yaml:11:17: configuration.coordinator: unknown field":                     {"{coordinators:", "{coordinator:"},
		"a.yaml:11:16: configuration.coordinators: missing; write":                   {`coordinators: ["127.0.0.1:7400"]`, ""},
		"a.yaml:11:31: configuration.coordinators: 10.0.0.1:7400 is not a loopback ": {`["127.0.0.1:7400"]`, `["10.0.0.1:7400"]`},
		`a.yaml:11:31: configuration.coordinators: "here" is no address`:             {`["127.0.0.1:7400"]`, `["here"]`},
		`a.yaml:11:31: configuration.coordinators: "here"; write a list`:             {`["127.0.0.1:7400"]`, `here`},
		`a.yaml:11:16: configuration: write fields such as coordinators`:             {`{coordinators: ["127.0.0.1:7400"]}`, `["127.0.0.1:7400"]`},
		`a.yaml:11:25: configuration.member: 0 bytes; write a name`:                  {`{coordinators`, `{member: "", coordinators`},
		`a.yaml:11:31: configuration.trial_period: "2"; write a time`:                {`{coordinators`, `{trial_period: 2, coordinators`},
		`a.yaml:11:16: configuration: service: "per mits"; write printable`:          {`permits`, `per mits`},
	} {
		text := strings.Replace(good, replacement[0], replacement[1], 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		code, out := call("--check", "--config", path)
		if code != 1 || !strings.Contains(out, want) || strings.Count(out, "\n") != 1 {
			t.Errorf("%d %s, want %s", code, out, want)
		}
	}
	remote := strings.Replace(strings.Replace(good, `["127.0.0.1:7400"]`, `["10.0.0.1:7400"]`, 1), "listen:", "allow_remote: true\nlisten:", 1)
	if err := os.WriteFile(path, []byte(remote), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out := call("--check", "--config", path); code != 0 {
		t.Errorf("%d %s", code, out)
	}
	if code, out := call(); code != command.ExitUsage || !strings.Contains(out, "--config") {
		t.Errorf("%d %s", code, out)
	}
}

// The former name of admin_addresses must still be read, with one warning that names the new one. A file with both names must be refused.
func TestAdminAddressesUnderTheirOldName(t *testing.T) {
	example, err := os.ReadFile("../../deploy/agent.yaml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "a.yaml")
	check := func(text string) (code int, out, errs string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var stdout, stderr bytes.Buffer
		code = run([]string{"--check", "--config", path}, &stdout, &stderr)
		return code, stdout.String(), stderr.String()
	}
	const key, oldKey = "admin_addresses:", "doors:"
	if n := strings.Count(string(example), key); n != 2 {
		t.Fatalf("the example has %d fields admin_addresses, want 2", n)
	}

	if code, out, errs := check(string(example)); code != 0 || errs != "" {
		t.Errorf("the example: %d %s%s", code, out, errs)
	}
	code, out, errs := check(strings.ReplaceAll(string(example), key, oldKey))
	if code != 0 || !strings.Contains(out, "2 sidecars of permits") {
		t.Errorf("the old name: %d %s%s", code, out, errs)
	}
	const warning = "a.yaml:9:58: sidecars[0].doors: this is called admin_addresses now; write that"
	if strings.Count(errs, "\n") != 1 || !strings.Contains(errs, warning) {
		t.Errorf("the old name: warned %q, want one line with %q", errs, warning)
	}

	for name, text := range map[string]string{
		"one sidecar each": strings.Replace(string(example), key, oldKey, 1),
		"in one sidecar":   strings.Replace(string(example), key, `doors: ["127.0.0.1:9600", "127.0.0.1:9601"], `+key, 1),
	} {
		const want = "a.yaml:9:58: sidecars[0].doors: the file has admin_addresses as well; write admin_addresses alone"
		code, out, errs := check(text)
		if code != 1 || out != "" || strings.Count(errs, "\n") != 1 || !strings.Contains(errs, want) {
			t.Errorf("%s: %d %s%s, want %q", name, code, out, errs, want)
		}
	}
}

// The agent must retry while another process holds an address or a lock, give up after heldTimeout, and not retry after any other error.
func TestRetryWhileHeld(t *testing.T) {
	for name, c := range map[string]struct {
		errs []error // the errors of successive calls; later calls succeed
		want error
		took time.Duration
	}{
		"free":             {},
		"held for a while": {[]error{syscall.EADDRINUSE, syscall.EADDRINUSE, syscall.EADDRINUSE}, nil, 3 * heldRetryInterval},
		"another error":    {[]error{syscall.EADDRINUSE, syscall.EACCES}, syscall.EACCES, heldRetryInterval},
		"held for ever":    {slices.Repeat([]error{syscall.EADDRINUSE}, 1000), syscall.EADDRINUSE, heldTimeout + heldRetryInterval},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				began, calls := time.Now(), 0
				_, err := retryWhileHeld(t.Context(), syscall.EADDRINUSE, func() (int, error) {
					if calls++; calls <= len(c.errs) {
						return 0, fmt.Errorf("listen: %w", c.errs[calls-1])
					}
					return 1, nil
				})
				if !errors.Is(err, c.want) || time.Since(began) != c.took {
					t.Errorf("%v after %v, want %v after %v", err, time.Since(began), c.want, c.took)
				}
			})
		})
	}
}
