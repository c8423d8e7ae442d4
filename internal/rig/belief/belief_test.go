package belief

import (
	"strings"
	"testing"
)

// The judge sees each wrong by itself, and none in what is right.
func TestJudge(t *testing.T) {
	right := []Belief{{"a", 1, 0, 5}, {"a", 1, 10, 30}, {"b", 2, 20, 40}, {"b", 2, 50, 51}}
	for name, c := range map[string]struct {
		looks []Belief
		acts  []Write
		want  string
	}{
		"right":                 {right, []Write{{"a", 1, true}, {"b", 2, true}, {"a", 1, false}}, ""},
		"believes on":           {append([]Belief{{"a", 1, 41, 42}}, right...), nil, "a believes in 1"},
		"one token of two":      {append([]Belief{{"b", 1, 2, 3}}, right...), nil, "token 1 is"},
		"admitted out of order": {nil, []Write{{"b", 2, true}, {"a", 1, true}}, "admitted after"},
	} {
		v := Check(c.looks, c.acts)
		if got := strings.Join(v.Violations, "; "); (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
