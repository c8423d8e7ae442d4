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

// Error reports what is wrong with a configuration, and where. Its text is one line: file:line:column: field: problem; remedy.
type Error struct {
	File         string
	Line, Column int    // from 1; columns are bytes
	Field        string // such as settings.classes[2].effect; "" if the text is not JSON
	Problem      string
	Remedy       string // what to write instead; "" if Problem implies it
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

// source is the text of a configuration. It locates fields in the text.
type source struct {
	file string
	raw  []byte
}

// span is the position of a field's value: the bytes from start up to, but not including, end.
type span struct {
	field      string
	start, end int
}

// spans returns the spans of all values in the text, each after those of the values inside it. It stops where the text is not
// valid JSON.
func (t source) spans() []span {
	walker := spanWalker{raw: t.raw, decoder: json.NewDecoder(bytes.NewReader(t.raw))}
	walker.walk("")
	return walker.spans
}

// spanWalker reads a text value by value and collects their spans.
type spanWalker struct {
	raw     []byte
	decoder *json.Decoder
	spans   []span
}

// walk reads the value of a field and all values inside it. It returns false if the text is not valid JSON up to the end of the
// value.
func (w *spanWalker) walk(field string) bool {
	start := int(w.decoder.InputOffset())
	for start < len(w.raw) && strings.IndexByte(" \t\r\n,:", w.raw[start]) >= 0 {
		start++
	}
	token, err := w.decoder.Token()
	if err != nil {
		return false
	}
	switch token {
	case json.Delim('{'):
		for w.decoder.More() {
			key, err := w.decoder.Token()
			if err != nil || !w.walk(strings.TrimPrefix(fmt.Sprint(field, ".", key), ".")) {
				return false
			}
		}
		_, _ = w.decoder.Token() // the closing brace; if it is missing, the value ends at the end of the text
	case json.Delim('['):
		for i := 0; w.decoder.More(); i++ {
			if !w.walk(fmt.Sprintf("%s[%d]", field, i)) {
				return false
			}
		}
		_, _ = w.decoder.Token() // the closing bracket; as above
	}
	w.spans = append(w.spans, span{field, start, int(w.decoder.InputOffset())})
	return true
}

// errorAt returns an *Error at an offset.
func (t source) errorAt(offset int, field, problem, remedy string) error {
	offset = max(0, min(offset, len(t.raw)))
	before := t.raw[:offset]
	return &Error{
		File: t.file, Line: 1 + bytes.Count(before, []byte("\n")), Column: offset - bytes.LastIndexByte(before, '\n'),
		Field: field, Problem: problem, Remedy: remedy,
	}
}

// errorIn returns an *Error at a field. If the text does not have the field, the position is that of the innermost value that
// should contain it.
func (t source) errorIn(field, problem, remedy string) error {
	all := t.spans()
	for ancestor := field; ; ancestor = ancestor[:max(0, strings.LastIndexAny(ancestor, ".["))] {
		for _, s := range all { // encoding/json matches names regardless of case
			if strings.EqualFold(s.field, ancestor) {
				return t.errorAt(s.start, field, problem, remedy)
			}
		}
		if ancestor == "" {
			return t.errorAt(0, field, problem, remedy)
		}
	}
}

// wrap converts an error from parsing the text, or the value of one of its fields, into an *Error. base is the offset at which
// that value starts.
func (t source) wrap(err error, base int, field string) error {
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	var fieldError *wire.FieldError
	var entryError *discovery.EntryError
	switch {
	case errors.As(err, &syntaxError):
		return t.errorAt(base+int(syntaxError.Offset)-1, "", "not valid JSON: "+syntaxError.Error(), "")
	case errors.As(err, &typeError):
		value := t.innermost(base+int(typeError.Offset), span{field, base, len(t.raw)})
		problem, remedy := "is "+describeGiven(typeError.Value), "write "+describeWanted(typeError.Type.Kind().String())
		return t.errorAt(value.start, value.field, problem, remedy)
	case errors.As(err, &fieldError):
		return t.errorIn(field+"."+fieldError.Field, fieldError.Problem, fieldError.Remedy)
	case errors.As(err, &entryError):
		return t.errorIn(strings.TrimSuffix(field+"."+entryError.Field, "."), entryError.Problem, entryError.Remedy)
	}
	return t.errorIn(field, err.Error(), "")
}

// innermost returns the smallest span that contains the offset or ends there, or best if no such span is smaller than best.
func (t source) innermost(offset int, best span) span {
	for _, s := range t.spans() {
		if s.start < offset && offset <= s.end && s.end-s.start < best.end-best.start {
			best = s
		}
	}
	return best
}

// describeGiven describes the value that the text has, from encoding/json's name for it.
func describeGiven(value string) string {
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

// describeWanted describes a kind of Go value in terms of JSON.
func describeWanted(kind string) string {
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

// startOf returns the offset of the value of a field, or 0 if the text does not have the field.
func (t source) startOf(field string) int {
	for _, s := range t.spans() {
		if strings.EqualFold(s.field, field) {
			return s.start
		}
	}
	return 0
}
