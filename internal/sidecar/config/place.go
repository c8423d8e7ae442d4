package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"petrelhook/internal/sidecar/member/discovery"
	"petrelhook/internal/sidecar/wire"
)

// Error is what is wrong with a configuration, and where. It is one line: file:line:column: field: problem; remedy.
type Error struct {
	File         string
	Line, Column int    // from 1; columns are bytes
	Field        string // as settings.classes[2].effect; "" where the text is no JSON
	Problem      string
	Remedy       string // what would be right; "" where the problem says it
}

func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", e.File, e.Line, e.Column)
	if e.Field != "" {
		b.WriteString(e.Field + ": ")
	}
	b.WriteString(strings.ReplaceAll(e.Problem, "\n", " "))
	if e.Remedy != "" {
		b.WriteString("; " + e.Remedy)
	}
	return b.String()
}

// text is a configuration as written, for saying where in it a field stands.
type text struct {
	file string
	raw  []byte
}

// span is where a value stands.
type span struct {
	field      string
	start, end int
}

// spans lists the values of a text, inner ones before those that hold them, as far as it can be read.
func (t text) spans() (all []span) {
	dec := json.NewDecoder(bytes.NewReader(t.raw))
	var walk func(field string) bool
	walk = func(field string) bool {
		start := int(dec.InputOffset())
		for start < len(t.raw) && strings.IndexByte(" \t\r\n,:", t.raw[start]) >= 0 {
			start++
		}
		token, err := dec.Token()
		if err != nil {
			return false
		}
		switch token {
		case json.Delim('{'):
			for dec.More() {
				key, err := dec.Token()
				if err != nil || !walk(strings.TrimPrefix(fmt.Sprint(field, ".", key), ".")) {
					return false
				}
			}
			dec.Token()
		case json.Delim('['):
			for i := 0; dec.More(); i++ {
				if !walk(fmt.Sprintf("%s[%d]", field, i)) {
					return false
				}
			}
			dec.Token()
		}
		all = append(all, span{field, start, int(dec.InputOffset())})
		return true
	}
	walk("")
	return all
}

// at makes the error of an offset.
func (t text) at(offset int, field, problem, remedy string) error {
	offset = max(0, min(offset, len(t.raw)))
	before := t.raw[:offset]
	return &Error{
		File: t.file, Line: 1 + bytes.Count(before, []byte("\n")), Column: offset - bytes.LastIndexByte(before, '\n'),
		Field: field, Problem: problem, Remedy: remedy,
	}
}

// in makes the error of a field. Where the text does not have it, the place is that of what should hold it.
func (t text) in(field, problem, remedy string) error {
	all := t.spans()
	for holder := field; ; holder = holder[:max(0, strings.LastIndexAny(holder, ".["))] {
		for _, s := range all { // json takes names in any case
			if strings.EqualFold(s.field, holder) {
				return t.at(s.start, field, problem, remedy)
			}
		}
		if holder == "" {
			return t.at(0, field, problem, remedy)
		}
	}
}

// wrap gives an error of a reader of (a part of) the text its place; base is where the part stands.
func (t text) wrap(err error, base int, part string) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	var field *wire.FieldError
	var entry *discovery.EntryError
	switch {
	case errors.As(err, &syntax):
		return t.at(base+int(syntax.Offset)-1, "", "no JSON: "+syntax.Error(), "")
	case errors.As(err, &kind):
		best := span{part, base, len(t.raw)}
		offset := base + int(kind.Offset)
		for _, s := range t.spans() { // the smallest value that the offset lies in or behind
			if s.start < offset && offset <= s.end && s.end-s.start < best.end-best.start {
				best = s
			}
		}
		return t.at(best.start, best.field, "is "+given(kind.Value), "write "+wanted(kind.Type.Kind().String()))
	case errors.As(err, &field):
		return t.in(part+"."+field.Field, field.Problem, field.Remedy)
	case errors.As(err, &entry):
		return t.in(strings.TrimSuffix(part+"."+entry.Field, "."), entry.Problem, entry.Remedy)
	}
	return t.in(part, err.Error(), "")
}

// given names what stands there, by encoding/json's word for it.
func given(value string) string {
	switch what, exact, _ := strings.Cut(value, " "); {
	case exact != "":
		return "the " + value
	case what == "array":
		return "a list"
	case what == "object":
		return "an object"
	}
	return "a " + value
}

// wanted names a kind of value as the file's writer knows it.
func wanted(kind string) string {
	switch {
	case strings.HasPrefix(kind, "int"):
		return "a whole number"
	case strings.HasPrefix(kind, "uint"):
		return "a whole number of at least 0"
	case strings.HasPrefix(kind, "float"):
		return "a number"
	case kind == "bool":
		return "true or false"
	case kind == "struct", kind == "map":
		return "an object in braces"
	case kind == "slice":
		return "a list in brackets"
	}
	return "a " + kind
}

// start is where a field's value begins.
func (t text) start(field string) int {
	for _, s := range t.spans() {
		if strings.EqualFold(s.field, field) {
			return s.start
		}
	}
	return 0
}
