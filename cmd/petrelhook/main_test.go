package main

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const goodConfig = `{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f",
 "known": {"generation": 1, "reset": true, "instances": [
  {"instanceId": "s-1", "hostPort": "127.0.0.1:2", "lifecycle": "up", "weight": 1}]},
 "settings": {"classes": [{"name": "look", "effect": "read_like", "hard_limit_ms": 1000}]}}
`

func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Each command line gives its exit code and prints to the right output. An error is printed as one line.
func TestCommandLine(t *testing.T) {
	path := writeConfig(t, goodConfig)
	bad := writeConfig(t, strings.Replace(goodConfig, `"read_like"`, `"odd"`, 1))
	t.Setenv("LB_CONFIG", "")
	for _, c := range []struct {
		args      []string
		code      int
		out, errs string
	}{
		{[]string{"--help"}, 0, "usage: petrelhook", ""},
		{[]string{"-h"}, 0, "Exit codes", ""},
		{[]string{"--version"}, 0, "go1.", ""},
		{nil, 2, "", "no configuration: give --config FILE"},
		{[]string{"--odd"}, 2, "", "not defined: -odd"},
		{[]string{"--check", "now"}, 2, "", `unexpected argument "now"`},
		{[]string{"--log-format", "xml", "--check", "--config", path}, 2, "", "must be text or json"},
		{[]string{"--log-level", "loud", "--check", "--config", path}, 2, "", "loud"},
		{[]string{"--check", "--config", path}, 0, "good: 1 classes, 1 servers known", ""},
		{[]string{"--check", "--config", bad}, 1, "", bad + `:4:54: settings.classes[0].effect: unknown effect "odd"; write`},
		{[]string{"--config", bad}, 1, "", "settings.classes[0].effect"},
		{[]string{"--check", "--config", bad + ".none"}, 1, "", "cannot be read"},
	} {
		var out, errs bytes.Buffer
		code := run(c.args, &out, &errs)
		if code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errs.String(), c.errs) {
			t.Errorf("%q: code %d, %q, %q", c.args, code, &out, &errs)
		}
		if code != 0 && (out.Len() > 0 || strings.Count(errs.String(), "\n") != 1) {
			t.Errorf("%q: %q, %q", c.args, &out, &errs)
		}
	}
}

// The operators' address in the environment variable overrides that of the file, and is checked in the same way. An address that is in use is
// reported.
func TestAdminAddressFromTheEnvironment(t *testing.T) {
	path := writeConfig(t, goodConfig)
	for addr, want := range map[string]string{"127.0.0.1:9600": "", "9600": `LB_ADMIN_ADDR: "9600" is no address; write host:port`} {
		t.Setenv("LB_ADMIN_ADDR", addr)
		var out, errs bytes.Buffer
		if code := run([]string{"--check", "--config", path}, &out, &errs); (code == 0) != (want == "") || !strings.Contains(errs.String(), want) {
			t.Errorf("%s: code %d, %q", addr, code, &errs)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	t.Setenv("LB_ADMIN_ADDR", listener.Addr().String())
	t.Setenv("TMPDIR", t.TempDir())
	var out, errs bytes.Buffer
	if code := run([]string{"--config", path}, &out, &errs); code != 1 || !strings.Contains(errs.String(), "is in use") || strings.Count(errs.String(), "\n") != 1 {
		t.Errorf("code %d, %q", code, &errs)
	}
}

// The --config flag overrides the environment variable.
func TestConfigPathPrecedence(t *testing.T) {
	env := func(name string) string { return map[string]string{"LB_CONFIG": "from-env"}[name] }
	for want, args := range map[string][]string{"from-env": nil, "given": {"--config", "given"}} {
		if c, err := parseArgs(args, env, io.Discard); err != nil || c.configPath != want {
			t.Errorf("%q: %q, %v", args, c.configPath, err)
		}
	}
}

// Lines below the level are not logged, and JSON lines have the fields by name.
func TestLogger(t *testing.T) {
	var out bytes.Buffer
	log := options{logFormat: "json", logLevel: slog.LevelWarn}.logger(&out)
	log.Info("quiet")
	log.Warn("loud", "server", "s-1")
	if got := out.String(); strings.Contains(got, "quiet") || !strings.Contains(got, `"msg":"loud","server":"s-1"`) {
		t.Error(got)
	}
}
