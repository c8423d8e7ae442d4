package yamlfile

import (
	"slices"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"
)

// parseWindows parses a file with two fields: "limit", whose deprecated name is "most", and "windows", a list of mappings with the
// field "size", whose deprecated name is "big".
func parseWindows(text string) (sizes []int, limit int, warnings []string, err error) {
	const file = "w.yaml"
	root, err := Mapping(file, []byte(text), "fields such as limit: 3")
	if err != nil {
		return nil, 0, nil, err
	}
	var names DeprecatedNames
	var list yaml.Node
	err = names.Fields(file, "", root, map[string]Reader{"limit": Into(&limit, "a number"), "windows": Into(&list, "a list")},
		map[string]string{"most": "limit"})
	if err != nil {
		return nil, 0, nil, err
	}
	err = EachMapping(file, "windows", &list, func(field string, window *yaml.Node) error {
		var size int
		err := names.Fields(file, field+".", window, map[string]Reader{"size": Into(&size, "a number")}, map[string]string{"big": "size"})
		sizes = append(sizes, size)
		return err
	})
	if err != nil {
		return nil, 0, nil, err
	}
	warnings, err = names.Warnings(file)
	return sizes, limit, warnings, err
}

// A field has the same effect under its deprecated name as under its current name. Each deprecated name that the file uses causes one
// warning, which gives the position of its first use.
func TestDeprecatedNames(t *testing.T) {
	for name, c := range map[string]struct {
		text     string
		warnings []string
	}{
		"current names":       {"limit: 7\nwindows: [{size: 1}, {size: 2}]\n", nil},
		"one deprecated name": {"most: 7\nwindows: [{size: 1}, {size: 2}]\n", []string{"w.yaml:1:7: most: this is called limit now; write that"}},
		"all deprecated names": {"most: 7\nwindows:\n  - {big: 1}\n  - {big: 2}\n", []string{
			"w.yaml:1:7: most: this is called limit now; write that",
			"w.yaml:3:11: windows[0].big: this is called size now; write that",
		}},
	} {
		sizes, limit, warnings, err := parseWindows(c.text)
		if err != nil || limit != 7 || !slices.Equal(sizes, []int{1, 2}) || !slices.Equal(warnings, c.warnings) {
			t.Errorf("%s: %v %d, warnings %q, %v; want warnings %q", name, sizes, limit, warnings, err, c.warnings)
		}
	}
}

// A file that uses both names of a field is rejected, even if the names are in different items of a list. Other errors name the field
// by the name that the file uses.
func TestBadDeprecatedNames(t *testing.T) {
	for text, want := range map[string]string{
		"most: 7\nlimit: 7\nwindows: [{size: 1}]\n":     "w.yaml:1:7: most: the file has limit as well; write limit alone",
		"limit: 7\nmost: 7\nwindows: [{size: 1}]\n":     "w.yaml:2:7: most: the file has limit as well; write limit alone",
		"limit: 7\nwindows: [{size: 1, big: 1}]\n":      "w.yaml:2:26: windows[0].big: the file has size as well; write size alone",
		"limit: 7\nwindows: [{size: 1}, {big: 2}]\n":    "w.yaml:2:28: windows[1].big: the file has size as well; write size alone",
		"most: 7\nmost: 8\n":                            "w.yaml:2:1: most: comes twice",
		"most: seven\n":                                 `w.yaml:1:7: most: "seven"; write a number`,
		"moist: 7\n":                                    "w.yaml:1:1: moist: unknown field; known are limit, windows",
		"windows: [{most: 1}]\n":                        "w.yaml:1:12: windows[0].most: unknown field; known are size",
		"limit: 7\nwindows: [{size: 1}, {big: here}]\n": `w.yaml:2:28: windows[1].big: "here"; write a number`,
		"limit: 7\nwindows: [{size: 1, size: 1, x: 1}]": "w.yaml:2:21: windows[0].size: comes twice",
	} {
		if _, _, _, err := parseWindows(text); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
