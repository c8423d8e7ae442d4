package yamlfile

import (
	"regexp"

	"go.yaml.in/yaml/v3"
)

// DeprecatedNames reads fields also under the names that earlier versions had for them, and collects which of these names a file uses. One
// value is for one file and one goroutine. The zero value is ready for use.
//
// A parser calls its Fields in place of the function Fields for each mapping that has renamed fields, and Warnings once all are read:
//
//	var names yamlfile.DeprecatedNames
//	err := names.Fields(file, "limits.", n, known, map[string]string{"heard": "contact_timeout"})
//	...
//	warnings, err := names.Warnings(file)
type DeprecatedNames struct {
	uses    []deprecatedUse // the first use of each deprecated name
	current map[string]bool // the field paths in which the file uses a current name
}

// deprecatedUse is a field that a file has under a deprecated name.
type deprecatedUse struct {
	node        *yaml.Node // its value
	field       string     // its path under the deprecated name, with indexes
	path        string     // the same without indexes
	currentName string
	currentPath string // the path under the current name, without indexes
}

// listIndex is the index of a list's item in the path of a field.
var listIndex = regexp.MustCompile(`\[\d+\]`)

// Fields is the function Fields for a mapping in which fields may have deprecated names. renamed leads from each deprecated name to the
// current one, which is in known and reads both.
func (d *DeprecatedNames) Fields(file, prefix string, n *yaml.Node, known map[string]Reader, renamed map[string]string) error {
	pathPrefix := listIndex.ReplaceAllString(prefix, "")
	for i := 0; i+1 < len(n.Content); i += 2 {
		name := n.Content[i].Value
		currentName, deprecated := renamed[name]
		if !deprecated {
			d.addCurrent(pathPrefix + name)
			continue
		}
		d.addUse(deprecatedUse{node: n.Content[i+1], field: prefix + name, path: pathPrefix + name, currentName: currentName,
			currentPath: pathPrefix + currentName})
	}
	return readFields(file, prefix, n, known, renamed)
}

func (d *DeprecatedNames) addCurrent(path string) {
	if d.current == nil {
		d.current = map[string]bool{}
	}
	d.current[path] = true
}

// addUse adds the first use of a deprecated name. Later uses in other items of the same list are left out.
func (d *DeprecatedNames) addUse(use deprecatedUse) {
	for _, earlier := range d.uses {
		if earlier.path == use.path {
			return
		}
	}
	d.uses = append(d.uses, use)
}

// Warnings returns one warning for each deprecated name, with the place of its first use, in the order in which the parser has read them.
// A file that has a field under both names is an error: which value is meant is not known.
func (d *DeprecatedNames) Warnings(file string) ([]string, error) {
	var warnings []string
	for _, use := range d.uses {
		if d.current[use.currentPath] {
			return nil, Problem(file, use.node, use.field, "the file has "+use.currentName+" as well; write "+use.currentName+" alone")
		}
		warnings = append(warnings, Problem(file, use.node, use.field, "this is called "+use.currentName+" now; write that").Error())
	}
	return warnings, nil
}
