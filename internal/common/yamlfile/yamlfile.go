// Package yamlfile parses settings in YAML strictly: an unknown field, a duplicate one and an invalid value are errors (Error) that name
// file, line, column and field, and say what to write. The callers know what the fields mean. It is pure, and safe for concurrent use.
//
// A caller takes a file's Mapping, and gives Fields a Reader for each field that it knows:
//
//	err = yamlfile.Fields(file, "", mapping, map[string]yamlfile.Reader{
//		"listen": yamlfile.IntoAddress(&c.Listen),
//		"grace":  yamlfile.IntoDuration(&c.Grace, 0, time.Minute),
//	})
//
// Fields that had other names in earlier versions are read by DeprecatedNames, which warns of the earlier names.
package yamlfile

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Mapping is the mapping that a file consists of. file is its name and text its content; example is an example of its fields, for the
// error if it is no mapping.
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
	for i, item := range n.Content {
		itemField := fmt.Sprintf("%s[%d]", field, i)
		if item.Kind != yaml.MappingNode {
			return Problem(file, item, itemField, "write fields")
		}
		if err := read(itemField, item); err != nil {
			return err
		}
	}
	return nil
}

// Error is an error at a field of a file. Its text begins with the position, as compilers write it.
type Error struct {
	File         string
	Line, Column int    // from 1
	Field        string // the path of the field, such as sidecars[1].name
	Err          error  // what is wrong, and what to write instead
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %v", e.File, e.Line, e.Column, e.Field, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// Problem is the Error at a node of a file. what says what is wrong, and what to write instead.
func Problem(file string, n *yaml.Node, field, what string) error {
	return errorAt(file, n, field, errors.New(what))
}

func errorAt(file string, n *yaml.Node, field string, err error) *Error {
	return &Error{File: file, Line: n.Line, Column: n.Column, Field: field, Err: err}
}

// Loopback reports whether a host can be reached from this machine alone.
func Loopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// Fields calls the Reader in known for each field of a mapping, in the order of the file, until one fails. A field that is not known, or
// comes twice, is an error; one that is missing is not: the caller has set its default. prefix is put before fields' names in errors.
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
			return errorAt(file, n.Content[i+1], prefix+name, err)
		}
	}
	return nil
}

// Decode decodes a value into what to points to. expected says what is valid, for the error.
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

// Duration parses a duration in Go's form, from minValue to maxValue.
func Duration(n *yaml.Node, to *time.Duration, minValue, maxValue time.Duration) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil || v < minValue || v > maxValue {
		return fmt.Errorf("%q; write a time from %v to %v, such as 30s", n.Value, minValue, maxValue)
	}
	*to = v
	return nil
}

// Reader reads the value of a field, for Fields. Its error says what is wrong and what to write; Fields adds file, position and field.
type Reader = func(*yaml.Node) error

// Into returns the Reader that calls Decode.
func Into(to any, expected string) Reader {
	return func(n *yaml.Node) error { return Decode(n, to, expected) }
}

// IntoAddress returns the Reader that calls Address.
func IntoAddress(to *string) Reader {
	return func(n *yaml.Node) error { return Address(n, to) }
}

// IntoDuration returns the Reader that calls Duration.
func IntoDuration(to *time.Duration, minValue, maxValue time.Duration) Reader {
	return func(n *yaml.Node) error { return Duration(n, to, minValue, maxValue) }
}
