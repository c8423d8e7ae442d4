// Package yamlfile reads files of settings in YAML strictly: an unknown field, one that comes twice and a value that is none are errors
// that name file, line, column and field, and say what to write. What the fields mean is their readers' matter.
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

// Mapping is the one mapping that a file holds; such is an example of its fields.
func Mapping(file string, text []byte, such string) (*yaml.Node, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, fmt.Errorf("%s: %s", file, strings.TrimPrefix(err.Error(), "yaml: "))
	}
	if len(doc.Content) == 0 || doc.Content[0].Kind != yaml.MappingNode {
		return nil, fmt.Errorf("%s:1:1: write %s", file, such)
	}
	return doc.Content[0], nil
}

// Each hands each mapping of a list to its reader, with its place.
func Each(file, at string, n *yaml.Node, read func(at string, n *yaml.Node) error) error {
	if n.Kind != yaml.SequenceNode || len(n.Content) == 0 {
		return Problem(file, n, at, "write a list")
	}
	for i, one := range n.Content {
		own := fmt.Sprintf("%s[%d]", at, i)
		if one.Kind != yaml.MappingNode {
			return Problem(file, one, own, "write fields")
		}
		if err := read(own, one); err != nil {
			return err
		}
	}
	return nil
}

// Problem is an error at a place of the file.
func Problem(file string, n *yaml.Node, field, what string) error {
	return fmt.Errorf("%s:%d:%d: %s: %s", file, n.Line, n.Column, field, what)
}

// Loopback reports whether a host is of this machine alone.
func Loopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// Fields hands each field of a mapping to its reader.
func Fields(file, at string, n *yaml.Node, known map[string]func(*yaml.Node) error) error {
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		name := n.Content[i].Value
		read := known[name]
		if read == nil {
			return Problem(file, n.Content[i], at+name, "unknown field; known are "+strings.Join(slices.Sorted(maps.Keys(known)), ", "))
		}
		if seen[name] {
			return Problem(file, n.Content[i], at+name, "comes twice")
		}
		seen[name] = true
		if err := read(n.Content[i+1]); err != nil {
			return Problem(file, n.Content[i+1], at+name, err.Error())
		}
	}
	return nil
}

// Decode reads a value; want says what is wanted.
func Decode(n *yaml.Node, to any, want string) error {
	if n.Decode(to) != nil {
		return fmt.Errorf("%q; write %s", n.Value, want)
	}
	return nil
}

// Address reads host:port.
func Address(n *yaml.Node, to *string) error {
	if _, _, err := net.SplitHostPort(n.Value); err != nil {
		return fmt.Errorf("%q is no address; write host:port", n.Value)
	}
	*to = n.Value
	return nil
}

// Within reads a time with bounds.
func Within(n *yaml.Node, d *time.Duration, least, most time.Duration) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil || v < least || v > most {
		return fmt.Errorf("%q; write a time from %v to %v, such as 30s", n.Value, least, most)
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
	return func(n *yaml.Node) error { return Within(n, to, minimum, maximum) }
}
