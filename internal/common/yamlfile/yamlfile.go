// Package yamlfile parses settings in YAML strictly: an unknown field, a duplicate one and an invalid value are errors that name file,
// line, column and field, and say what to write. The callers know what the fields mean. It is pure.
package yamlfile

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Mapping is the mapping that a file consists of. example is an example of its fields, for the error.
func Mapping(file string, text []byte, example string) (*yaml.Node, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, fmt.Errorf("%s: %s", file, strings.TrimPrefix(err.Error(), "yaml: "))
	}
	if len(doc.Content) == 0 || doc.Content[0].Kind != yaml.MappingNode {
		return nil, fmt.Errorf("%s:1:1: write %s", file, example)
	}
	return doc.Content[0], nil
}

// EachMapping calls read for each mapping of a list, with the field's name and index for errors.
func EachMapping(file, field string, n *yaml.Node, read func(field string, n *yaml.Node) error) error {
	if n.Kind != yaml.SequenceNode || len(n.Content) == 0 {
		return Problem(file, n, field, "write a list")
	}
	for i, one := range n.Content {
		itemField := fmt.Sprintf("%s[%d]", field, i)
		if one.Kind != yaml.MappingNode {
			return Problem(file, one, itemField, "write fields")
		}
		if err := read(itemField, one); err != nil {
			return err
		}
	}
	return nil
}

// Problem is an error at a node of a file.
func Problem(file string, n *yaml.Node, field, what string) error {
	return fmt.Errorf("%s:%d:%d: %s: %s", file, n.Line, n.Column, field, what)
}

// Loopback reports whether a host can be reached from this machine alone.
func Loopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// Fields calls the function in known for each field of a mapping. prefix is put before fields' names in errors.
func Fields(file, prefix string, n *yaml.Node, known map[string]Reader) error {
	return readFields(file, prefix, n, known, nil)
}

// readFields is Fields, with a second name for some fields: renamed leads from the second name to the one in known.
func readFields(file, prefix string, n *yaml.Node, known map[string]Reader, renamed map[string]string) error {
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		name := n.Content[i].Value
		read := known[name]
		if read == nil {
			read = known[renamed[name]]
		}
		if read == nil {
			return Problem(file, n.Content[i], prefix+name, "unknown field; known are "+strings.Join(slices.Sorted(maps.Keys(known)), ", "))
		}
		if seen[name] {
			return Problem(file, n.Content[i], prefix+name, "comes twice")
		}
		seen[name] = true
		if err := read(n.Content[i+1]); err != nil {
			return Problem(file, n.Content[i+1], prefix+name, err.Error())
		}
	}
	return nil
}

// Decode decodes a value. expected says what is valid, for the error.
func Decode(n *yaml.Node, to any, expected string) error {
	if n.Decode(to) != nil {
		return fmt.Errorf("%q; write %s", n.Value, expected)
	}
	return nil
}

// Address parses host:port.
func Address(n *yaml.Node, to *string) error {
	if _, _, err := net.SplitHostPort(n.Value); err != nil {
		return fmt.Errorf("%q is no address; write host:port", n.Value)
	}
	*to = n.Value
	return nil
}

// Duration parses a duration within bounds.
func Duration(n *yaml.Node, d *time.Duration, minValue, maxValue time.Duration) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil || v < minValue || v > maxValue {
		return fmt.Errorf("%q; write a time from %v to %v, such as 30s", n.Value, minValue, maxValue)
	}
	*d = v
	return nil
}

// Reader reads the value of a field, as Fields wants it. Its error says what to write; Fields adds the place.
type Reader = func(*yaml.Node) error

// Into returns the Reader that decodes a value; want says what is wanted.
func Into(to any, want string) Reader {
	return func(n *yaml.Node) error { return Decode(n, to, want) }
}

// IntoAddress returns the Reader of host:port.
func IntoAddress(to *string) Reader {
	return func(n *yaml.Node) error { return Address(n, to) }
}

// IntoDuration returns the Reader of a time with bounds.
func IntoDuration(to *time.Duration, minimum, maximum time.Duration) Reader {
	return func(n *yaml.Node) error { return Duration(n, to, minimum, maximum) }
}
