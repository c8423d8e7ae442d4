// Package yamlfile parses YAML settings strictly. An unknown field, a duplicate field and an invalid value are errors (Error)
// that name the file, line, column and field, and say what to write instead. The fields and their meaning are defined by the
// callers. The functions read no files and are safe for concurrent use.
//
// A caller gets the Mapping of a file, and passes Fields a Reader for each field that it knows:
//
//	err = yamlfile.Fields(file, "", mapping, map[string]yamlfile.Reader{
//		"listen": yamlfile.IntoAddress(&c.Listen),
//		"grace":  yamlfile.IntoDuration(&c.Grace, 0, time.Minute),
//	})
//
// DeprecatedNames reads fields that had other names in earlier versions, and returns warnings about these names.
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

// Mapping returns the mapping at the top level of a file. file is the file's name and text its content; example shows valid
// fields, for the error if the top level is not a mapping.
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

// EachMapping calls read for each item of a list of mappings, with the item's path, such as sidecars[1], for errors. It stops at
// the first error. An empty list is an error.
func EachMapping(file, field string, n *yaml.Node, read func(field string, n *yaml.Node) error) error {
	if n.Kind != yaml.SequenceNode || len(n.Content) == 0 {
		return NewError(file, n, field, "write a list")
	}
	for i, item := range n.Content {
		itemField := fmt.Sprintf("%s[%d]", field, i)
		if item.Kind != yaml.MappingNode {
			return NewError(file, item, itemField, "write fields")
		}
		if err := read(itemField, item); err != nil {
			return err
		}
	}
	return nil
}

// Error is an error at a field of a file. Its text begins with the position, in the form that compilers use.
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

// NewError returns an Error at a node of a file. message says what is wrong, and what to write instead.
func NewError(file string, n *yaml.Node, field, message string) error {
	return errorAt(file, n, field, errors.New(message))
}

func errorAt(file string, n *yaml.Node, field string, err error) *Error {
	return &Error{File: file, Line: n.Line, Column: n.Column, Field: field, Err: err}
}

// Loopback reports whether a host is localhost or a loopback address, which can be reached from this machine only.
func Loopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// Fields calls the Reader in known for each field of a mapping, in the order of the file, and stops at the first error. A field
// that is unknown, or that occurs twice, is an error. A missing field is not an error: its variable keeps the default that the
// caller has set. Errors have prefix before the field's name.
func Fields(file, prefix string, n *yaml.Node, known map[string]Reader) error {
	return readFields(file, prefix, n, known, nil)
}

// readFields implements Fields, with second names for some fields: renamed maps each second name to the name in known.
func readFields(file, prefix string, n *yaml.Node, known map[string]Reader, renamed map[string]string) error {
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		name := n.Content[i].Value
		read := known[name]
		if read == nil {
			read = known[renamed[name]]
		}
		if read == nil {
			return NewError(file, n.Content[i], prefix+name, "unknown field; known are "+strings.Join(slices.Sorted(maps.Keys(known)), ", "))
		}
		if seen[name] {
			return NewError(file, n.Content[i], prefix+name, "comes twice")
		}
		seen[name] = true
		if err := read(n.Content[i+1]); err != nil {
			return errorAt(file, n.Content[i+1], prefix+name, err)
		}
	}
	return nil
}

// Decode decodes a node into the variable that target points to. expected describes the valid values, for the error.
func Decode(n *yaml.Node, target any, expected string) error {
	if n.Decode(target) != nil {
		return fmt.Errorf("%q; write %s", n.Value, expected)
	}
	return nil
}

// Address parses a node of the form host:port into target.
func Address(n *yaml.Node, target *string) error {
	if _, _, err := net.SplitHostPort(n.Value); err != nil {
		return fmt.Errorf("%q is no address; write host:port", n.Value)
	}
	*target = n.Value
	return nil
}

// Duration parses a node in the form of time.ParseDuration into target. A value below minValue or above maxValue is an error.
func Duration(n *yaml.Node, target *time.Duration, minValue, maxValue time.Duration) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil || v < minValue || v > maxValue {
		return fmt.Errorf("%q; write a time from %v to %v, such as 30s", n.Value, minValue, maxValue)
	}
	*target = v
	return nil
}

// Reader reads the value of a field. Its error says what is wrong and what to write instead; Fields adds the file, position and
// field.
type Reader = func(*yaml.Node) error

// Into returns a Reader that calls Decode.
func Into(target any, expected string) Reader {
	return func(n *yaml.Node) error { return Decode(n, target, expected) }
}

// IntoAddress returns a Reader that calls Address.
func IntoAddress(target *string) Reader {
	return func(n *yaml.Node) error { return Address(n, target) }
}

// IntoDuration returns a Reader that calls Duration.
func IntoDuration(target *time.Duration, minValue, maxValue time.Duration) Reader {
	return func(n *yaml.Node) error { return Duration(n, target, minValue, maxValue) }
}
