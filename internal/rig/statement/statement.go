// Package statement parses one line of a scenario: a verb, words, and options of the form name=value. It knows no verb: the caller
// consumes words and options one by one, and what remains at the end is an error.
package statement

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Error is an error in a file, with its place.
type Error struct {
	File    string
	Line    int    // 0: the file as a whole
	Field   string // the invalid word, or the missing statement
	Message string // what is wrong, and what would be valid
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Message)
}

// Line is one statement: words, then options of the form name=value. Its methods consume these one by one. The first error is kept in
// Err; a value that is invalid reads as zero.
type Line struct {
	File        string
	LineNumber  int
	Verb        string
	Remaining   []string // words that are not consumed yet
	optionNames []string // in order
	options     map[string]string
	Err         error
}

// New splits a line; nil: it has no statement.
func New(file string, lineNumber int, text string) *Line {
	text, _, _ = strings.Cut(text, "#")
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return nil
	}
	l := &Line{File: file, LineNumber: lineNumber, Verb: fields[0], options: map[string]string{}}
	for _, f := range fields[1:] {
		name, value, isOpt := strings.Cut(f, "=")
		switch _, twice := l.options[name]; {
		case !isOpt:
			l.Remaining = append(l.Remaining, f)
		case name == "":
			l.Fail(f, "an option is name=value")
		case twice:
			l.Fail(name, "given twice")
		default:
			l.optionNames = append(l.optionNames, name)
			l.options[name] = value
		}
	}
	return l
}

// Fail records an error of a field, unless there was one before.
func (l *Line) Fail(field, format string, args ...any) {
	if field == "" { // an empty word cannot be named
		field = l.Verb
	}
	if l.Err == nil {
		l.Err = &Error{File: l.File, Line: l.LineNumber, Field: field, Message: fmt.Sprintf(format, args...)}
	}
}

// NextWord consumes the next word. what names it in the error if there is none.
func (l *Line) NextWord(what string) string {
	if len(l.Remaining) == 0 {
		l.Fail(l.Verb, "%s is missing", what)
		return ""
	}
	w := l.Remaining[0]
	l.Remaining = l.Remaining[1:]
	return w
}

// AcceptWord consumes the next word if it is this one.
func (l *Line) AcceptWord(word string) bool {
	if len(l.Remaining) == 0 || l.Remaining[0] != word {
		return false
	}
	l.Remaining = l.Remaining[1:]
	return true
}

// Finish rejects what remains, and returns the line's first error. known are the options that the verb takes.
func (l *Line) Finish(known ...string) error {
	if len(l.Remaining) > 0 {
		l.Fail(l.Remaining[0], "not expected here")
	}
	for _, name := range l.optionNames {
		if _, left := l.options[name]; left {
			if len(known) == 0 {
				l.Fail(name, "%s takes no options", l.Verb)
			}
			l.Fail(name, "unknown option; %s takes %s", l.Verb, strings.Join(known, ", "))
		}
	}
	return l.Err
}

// Option consumes an option.
func (l *Line) Option(name string) (string, bool) {
	v, ok := l.options[name]
	delete(l.options, name)
	return v, ok
}

// Duration reads an option such as 250ms, of at least zero. Without the option into stays, as in the methods below.
func (l *Line) Duration(name string, into *time.Duration) {
	if v, ok := l.Option(name); ok {
		*into = l.ParseDuration(name, v)
	}
}

// ParseDuration parses a field's value as a duration.
func (l *Line) ParseDuration(field, v string) time.Duration {
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 || d > 1000*time.Hour {
		l.Fail(field, "%q is no duration such as 250ms or 1.5s", v)
		return 0
	}
	return d
}

// DurationRange reads an option such as 5ms or 5ms..10ms.
func (l *Line) DurationRange(name string, from, to *time.Duration) {
	v, ok := l.Option(name)
	if !ok {
		return
	}
	first, last, isRange := strings.Cut(v, "..")
	*from = l.ParseDuration(name, first)
	if *to = *from; isRange {
		*to = l.ParseDuration(name, last)
	}
	if *to < *from {
		l.Fail(name, "%q ends before it begins", v)
	}
}

// Number reads an option with a number within bounds; 40% is 0.4.
func (l *Line) Number(name string, into *float64, minValue, maxValue float64) {
	if v, ok := l.Option(name); ok {
		*into = l.ParseNumber(name, v, minValue, maxValue)
	}
}

// ParseNumber parses a field's value as a number within bounds.
func (l *Line) ParseNumber(field, v string, minValue, maxValue float64) float64 {
	digits, percent := strings.CutSuffix(v, "%")
	n, err := strconv.ParseFloat(digits, 64)
	if percent {
		n /= 100
	}
	if err != nil || math.IsNaN(n) || n < minValue || n > maxValue {
		l.Fail(field, "%q is no number from %v to %v", v, minValue, maxValue)
		return 0
	}
	return n
}

// Integer reads an option with a whole number within bounds.
func (l *Line) Integer(name string, into *int, minValue, maxValue int) {
	if v, ok := l.Option(name); ok {
		*into = l.ParseInteger(name, v, minValue, maxValue)
	}
}

// ParseInteger parses a field's value as a whole number within bounds.
func (l *Line) ParseInteger(field, v string, minValue, maxValue int) int {
	n, err := strconv.Atoi(v)
	if err != nil || n < minValue || n > maxValue {
		l.Fail(field, "%q is no whole number from %d to %d", v, minValue, maxValue)
		return minValue
	}
	return n
}

// Bool reads an option that is yes or no.
func (l *Line) Bool(name string, into *bool) {
	if v, ok := l.Option(name); ok {
		*into = OneOf(l, name, v, "yes", "no") == "yes"
	}
}

// OneOf parses a field's value as one of the choices.
func OneOf[T ~string](l *Line, field, v string, choices ...T) T {
	if i := slices.Index(choices, T(v)); i >= 0 {
		return choices[i]
	}
	names := make([]string, len(choices))
	for i, c := range choices {
		names[i] = string(c)
	}
	l.Fail(field, "%q is none of %s", v, strings.Join(names, ", "))
	return choices[0]
}

// ParseRate parses a rate such as 200/s.
func (l *Line) ParseRate(v string) float64 {
	digits, ok := strings.CutSuffix(v, "/s")
	if !ok {
		l.Fail(v, "a rate is a number a second, such as 200/s")
		return 0
	}
	return l.ParseNumber(v, digits, 0, 1e7)
}
