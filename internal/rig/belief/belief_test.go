package belief

import (
	"strings"
	"testing"
)

// Check reports each violation by itself, and none in valid records.
func TestCheck(t *testing.T) {
	valid := []Belief{{"a", 1, 0, 5}, {"a", 1, 10, 30}, {"b", 2, 20, 40}, {"b", 2, 50, 51}}
	for name, c := range map[string]struct {
		beliefs []Belief
		writes  []Write
		want    string
	}{
		"valid":                        {valid, []Write{{"a", 1, true}, {"b", 2, true}, {"a", 1, false}}, ""},
		"believes after its successor": {append([]Belief{{"a", 1, 41, 42}}, valid...), nil, "a believes in 1"},
		"one token of two":             {append([]Belief{{"b", 1, 2, 3}}, valid...), nil, "token 1 is"},
		"admitted out of order":        {nil, []Write{{"b", 2, true}, {"a", 1, true}}, "admitted after"},
	} {
		v := Check(c.beliefs, c.writes)
		if got := strings.Join(v.Violations, "; "); (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
