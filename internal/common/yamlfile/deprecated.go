package yamlfile

import (
	"regexp"

	"go.yaml.in/yaml/v3"
)

// DeprecatedNames reads renamed fields under their earlier names too, and records which of these names a file uses. A value is
// used for one file and from one goroutine. The zero value is ready to use.
//
// A parser calls the method Fields instead of the function Fields for each mapping that has renamed fields, and Warnings after
// the last one:
//
//	var names yamlfile.DeprecatedNames
//	err := names.Fields(file, "limits.", n, known, map[string]string{"heard": "contact_timeout"})
//	...
//	warnings, err := names.Warnings(file)
type DeprecatedNames struct {
	uses    []deprecatedUse // the first use of each deprecated name
	current map[string]bool // the field paths in which the file uses a current name
}

// deprecatedUse is an occurrence of a deprecated name in a file.
type deprecatedUse struct {
	node        *yaml.Node // the field's value
	field       string     // the field's path under the deprecated name, with list indexes
	path        string     // the same without list indexes
	currentName string
	currentPath string // the path under the current name, without list indexes
}

// listIndex matches the index of a list item in the path of a field.
var listIndex = regexp.MustCompile(`\[\d+\]`)

// Fields does the same as the function Fields for a mapping whose fields may have deprecated names. renamed maps each deprecated
// name to the current name, whose Reader in known reads the value under either name.
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

// addUse records the first use of a deprecated name. It ignores later uses, such as those in other items of the same list.
func (d *DeprecatedNames) addUse(use deprecatedUse) {
	for _, earlier := range d.uses {
		if earlier.path == use.path {
			return
		}
	}
	d.uses = append(d.uses, use)
}

// Warnings returns one warning for each deprecated name that the file uses, with the position of its first
// use, in the order in which the parser read the names. It returns an error if the file has both names of a
// field, because it is unclear which value is meant.
func (d *DeprecatedNames) Warnings(file string) ([]string, error) {
	var warnings []string
	for _, use := range d.uses {
		if d.current[use.currentPath] {
			return nil, NewError(file, use.node, use.field, "the file has "+use.currentName+" as well; write "+use.currentName+" alone")
		}
		warnings = append(warnings, NewError(file, use.node, use.field, "this is called "+use.currentName+" now; write that").Error())
	}
	return warnings, nil
}
