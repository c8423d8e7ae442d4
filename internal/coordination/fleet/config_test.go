package fleet

import (
	"reflect"
	"slices"
	"strings"
	"testing"
)

// A setting under its deprecated name has the same effect as under its current name, with one warning that gives the current
// name. A file with both names is an error.
func TestDeprecatedCoordinatorSettings(t *testing.T) {
	const file = "id: 1\ndata: d\nmax_ttl: 2s\ndrive_interval: 3s\nreplicas: [{id: 1, address: \"127.0.0.1:1\"}]\n"
	want, err := ParseConfig("c", []byte(file))
	if err != nil || len(want.Warnings) != 0 {
		t.Fatal(err, want)
	}
	for _, c := range []struct{ current, deprecated, warning string }{
		{"max_ttl:", "longest_ttl:", "c:3:14: longest_ttl: this is called max_ttl now; write that"},
		{"drive_interval:", "drive_every:", "c:4:14: drive_every: this is called drive_interval now; write that"},
	} {
		got, err := ParseConfig("c", []byte(strings.ReplaceAll(file, c.current, c.deprecated)))
		if err != nil {
			t.Errorf("%s %v", c.deprecated, err)
			continue
		}
		if !slices.Equal(got.Warnings, []string{c.warning}) {
			t.Errorf("%s warnings %q, want %q", c.deprecated, got.Warnings, c.warning)
		}
		if got.Warnings = nil; !reflect.DeepEqual(got, want) {
			t.Errorf("%s %+v, want %+v", c.deprecated, got, want)
		}
	}
	const problem = "c:6:14: longest_ttl: the file has max_ttl as well; write max_ttl alone"
	if _, err := ParseConfig("c", []byte(file+"longest_ttl: 2s\n")); err == nil || err.Error() != problem {
		t.Errorf("%v, want %q", err, problem)
	}
}
