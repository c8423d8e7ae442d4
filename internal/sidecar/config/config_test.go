package config

import (
	"errors"
	"strings"
	"testing"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/connlimit"
)

// The client connections, the server connections and the reserved descriptors fit within the limit on descriptors.
func TestConnectionsFitTheDescriptorLimit(t *testing.T) {
	for _, sockets := range []int{256, 384, 1024} {
		l := Limits{Sockets: sockets}
		if n := l.ClientConnections() + l.ServerConnections() + connlimit.MaxRejecting; n > sockets-16 || l.ClientConnections() <= sockets/3 || l.ServerConnections() < sockets/3 {
			t.Errorf("%d descriptors: %d client connections and %d server connections", sockets, l.ClientConnections(), l.ServerConnections())
		}
	}
}

// The error of each mistake is one line with the file, line, column and field, and what to write instead.
func TestErrorsNameTheirPosition(t *testing.T) {
	const good = `{"listen": "127.0.0.1:0",
 "discovery": "127.0.0.1:1", "seed": "8c", "limits": {"cores": 1, "sockets": 1024},
 "known": {"generation": 4, "reset": true, "instances": [
  {"instanceId": "a", "hostPort": "127.0.0.1:2", "lifecycle": "up"},
  {"instanceId": "b", "hostPort": "127.0.0.1:3", "lifecycle": "up"}]},
 "settings": {"report": {"via": "piggyback", "fields": ["busy"]}, "discovery": "subscribe",
  "classes": [
   {"name": "look", "effect": "read_like", "on_time_ms": 80, "hard_limit_ms": 100},
   {"name": "book", "effect": "idempotency_key", "group": "cell", "hard_limit_ms": 100}]},
 "admin_addr": "127.0.0.1:9600"}`
	if _, err := Parse("f", []byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{good, "", "f:1:1: not valid JSON: unexpected end of JSON input"},
		{good, "[]", "f:1:1: is a list; write an object in braces"},
		{`"seed": "8c",`, `"seed": "8c"`, `f:2:43: not valid JSON: invalid character '"' after object key:value pair`},
		{`"seed": "8c"`, `"seed": 8`, "f:2:38: seed: is a number; write a string"},
		{`"seed": "8c"`, `"seed": "none"`, `f:2:38: seed: "none" is not a seed; write 1 to 16 hexadecimal digits`},
		{`"seed": "8c", `, ``, `f:1:1: seed: "" is not a seed`},
		{`"127.0.0.1:0"`, `"nowhere"`, `f:1:12: listen: "nowhere" is no address; write host:port`},
		{`"cores": 1`, `"cores": "1"`, "f:2:64: limits.cores: is a string; write a number"},
		{`"sockets": 1024`, `"sockets": 10.5`, "f:2:78: limits.sockets: is the number 10.5; write a whole number"},
		{`"sockets": 1024`, `"sockets": -1`, "f:2:78: limits.sockets: -1 is below 0"},
		{`"127.0.0.1:3"`, `"127.0.0.1"`, `f:5:35: known.instances[1].hostPort: "127.0.0.1" is no address`},
		{`"b", "hostPort"`, `"", "hostPort"`, `f:5:18: known.instances[1].instanceId: empty`},
		{`"127.0.0.1:3", "lifecycle": "up"`, `"127.0.0.1:3", "lifecycle": "odd"`, `f:5:63: known.instances[1].lifecycle: unknown lifecycle "odd"; write up, draining or removed`},
		{`"generation": 4`, `"generation": -4`, "f:3:26: known.generation: is the number -4; write a whole number of at least 0"},
		{`, "instances": [`, `, "others": [`, "f:3:11: known.instances: missing"},
		{`"hard_limit_ms": 100}]`, `"hard_limit_ms": "1 s"}]`, "f:9:84: settings.classes[1].hard_limit_ms: is a string; write a number"},
		{`"on_time_ms": 80`, `"on_time_ms": -80`, "f:8:58: settings.classes[0].on_time_ms: -80 ms; write"},
		{`, "hard_limit_ms": 100},`, `},`, "f:8:4: settings.classes[0].hard_limit_ms: 0 ms; write"},
		{`"cell"`, `"pod"`, `f:9:59: settings.classes[1].group: unknown group "pod"; write all, zone or cell`},
		{`"read_like"`, `"odd"`, `f:8:31: settings.classes[0].effect: unknown effect "odd"`},
		{`"subscribe"`, `"dns"`, `f:6:80: settings.discovery: unknown discovery "dns"`},
		{`"piggyback"`, `"post"`, `f:6:33: settings.report.via: unknown way "post"`},
		{`"127.0.0.1:9600"`, `"9600"`, `f:10:16: admin_addr: "9600" is no address; write host:port`},
		{`"127.0.0.1:9600"`, `9600`, `f:10:16: admin_addr: is a number; write a string`},
		{`"127.0.0.1:0"`, `"127.0.0.1:9600"`, `f:10:16: admin_addr: "127.0.0.1:9600" is the address of listen; write another port`},
		{`"classes"`, `"other"`, "f:6:14: settings.classes: missing"},
		{` "settings": {`, ` "other": {`, "f:1:1: settings: missing"},
	} {
		bad := strings.Replace(good, c.from, c.to, 1)
		_, err := Parse("f", []byte(bad))
		if bad == good || err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s -> %s:\n got %v\nwant %s", c.from, c.to, err, c.want)
		}
	}
}

// Parse accepts any input or returns an *Error of one line with a valid position.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c","known":{"instances":[{"instanceId":"a"}]},"settings":` + peertest.Settings + `}`))
	f.Add([]byte(`{"seed":[{"a":[1,{"b":`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, err := Parse("f", raw)
		var configErr *Error
		if err != nil && (!errors.As(err, &configErr) || configErr.Line < 1 || configErr.Column < 1 || strings.Contains(err.Error(), "\n")) {
			t.Errorf("not an *Error of one line with a valid position: %q", err)
		}
	})
}
