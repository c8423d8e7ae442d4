package config

import (
	"fmt"
	"strings"
	"testing"

	"petrelhook/internal/door"
	"petrelhook/internal/peertest"
)

// Descriptors: both sides and what is kept for discovery fit under the limit.
func TestTheSharesOfTheDescriptors(t *testing.T) {
	for _, sockets := range []int{256, 384, 1024} {
		l := Limits{Sockets: sockets}
		if n := l.Clients() + l.Servers() + door.TurnedAway; n > sockets-16 || l.Clients() <= sockets/3 || l.Servers() < sockets/3 {
			t.Errorf("%d: %d and %d", sockets, l.Clients(), l.Servers())
		}
	}
}

func TestBadConfig(t *testing.T) {
	good := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c","settings":` + peertest.Settings + `}`
	if _, err := Parse([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{
		"", "[]", "{}", strings.Replace(good, `"8c"`, `"no"`, 1), strings.Replace(good, "127.0.0.1:0", "nowhere", 1),
		strings.Replace(good, "read_like", "odd", 1), strings.Replace(good, `"seed"`, `"known":{"instances":7},"seed"`, 1),
	} {
		if _, err := Parse([]byte(bad)); err == nil || strings.Contains(fmt.Sprint(err), "\n") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
