// Package statement reads one line of a scenario: a verb, words, and options of the form name=value. It knows no verb; who
// reads a file takes the words and options away one by one, and what is left over is wrong.
package statement

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Error is what is wrong with a file, and where.
type Error struct {
	File  string
	Line  int    // 0: the file as a whole
	Field string // the word that is wrong, or the statement that is missing
	Msg   string // what is wrong and what would be right
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Msg)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Msg)
}

// Line is one statement: words, then options of the form name=value. Its methods take these away one by one; the first
// thing that is wrong is kept in Err, and everything after it reads as zero.
type Line struct {
	File  string
	No    int
	Verb  string
	Words []string // that are left
	names []string // of options, in order
	opts  map[string]string
	Err   error
}

// New splits a line; nil: there is no statement on it.
func New(file string, no int, text string) *Line {
	text, _, _ = strings.Cut(text, "#")
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return nil
	}
	l := &Line{File: file, No: no, Verb: fields[0], opts: map[string]string{}}
	for _, f := range fields[1:] {
		name, value, isOpt := strings.Cut(f, "=")
		switch _, twice := l.opts[name]; {
		case !isOpt:
			l.Words = append(l.Words, f)
		case name == "":
			l.Fail(f, "an option is name=value")
		case twice:
			l.Fail(name, "given twice")
		default:
			l.names = append(l.names, name)
			l.opts[name] = value
		}
	}
	return l
}

// Fail notes what is wrong with a field, unless something was wrong before.
func (l *Line) Fail(field, format string, args ...any) {
	if field == "" { // a word that is empty is not worth naming
		field = l.Verb
	}
	if l.Err == nil {
		l.Err = &Error{File: l.File, Line: l.No, Field: field, Msg: fmt.Sprintf(format, args...)}
	}
}

// Word takes the next word.
func (l *Line) Word(what string) string {
	if len(l.Words) == 0 {
		l.Fail(l.Verb, "%s is missing", what)
		return ""
	}
	w := l.Words[0]
	l.Words = l.Words[1:]
	return w
}

// Literal takes the next word if it is w.
func (l *Line) Literal(w string) bool {
	if len(l.Words) == 0 || l.Words[0] != w {
		return false
	}
	l.Words = l.Words[1:]
	return true
}

// End refuses what is left over, and names what could have stood there.
func (l *Line) End(known ...string) error {
	if len(l.Words) > 0 {
		l.Fail(l.Words[0], "not expected here")
	}
	for _, name := range l.names {
		if _, left := l.opts[name]; left {
			if len(known) == 0 {
				l.Fail(name, "%s takes no options", l.Verb)
			}
			l.Fail(name, "unknown option; %s takes %s", l.Verb, strings.Join(known, ", "))
		}
	}
	return l.Err
}

// Opt takes an option away.
func (l *Line) Opt(name string) (string, bool) {
	v, ok := l.opts[name]
	delete(l.opts, name)
	return v, ok
}

// Duration reads an option such as 250ms, of at least zero.
func (l *Line) Duration(name string, into *time.Duration) {
	if v, ok := l.Opt(name); ok {
		*into = l.ParseDuration(name, v)
	}
}

// ParseDuration reads a word of a field as a duration.
func (l *Line) ParseDuration(field, v string) time.Duration {
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 || d > 1000*time.Hour {
		l.Fail(field, "%q is no duration such as 250ms or 1.5s", v)
		return 0
	}
	return d
}

// Span reads 5ms or 5ms..10ms.
func (l *Line) Span(name string, from, to *time.Duration) {
	v, ok := l.Opt(name)
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

// Number reads a number within bounds; 40% is 0.4.
func (l *Line) Number(name string, into *float64, least, most float64) {
	if v, ok := l.Opt(name); ok {
		*into = l.ParseNumber(name, v, least, most)
	}
}

// ParseNumber reads a word of a field as a number.
func (l *Line) ParseNumber(field, v string, least, most float64) float64 {
	digits, percent := strings.CutSuffix(v, "%")
	n, err := strconv.ParseFloat(digits, 64)
	if percent {
		n /= 100
	}
	if err != nil || math.IsNaN(n) || n < least || n > most {
		l.Fail(field, "%q is no number from %v to %v", v, least, most)
		return 0
	}
	return n
}

// Integer reads a whole number within bounds.
func (l *Line) Integer(name string, into *int, least, most int) {
	if v, ok := l.Opt(name); ok {
		*into = l.ParseInteger(name, v, least, most)
	}
}

// ParseInteger reads a word of a field as a whole number.
func (l *Line) ParseInteger(field, v string, least, most int) int {
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most {
		l.Fail(field, "%q is no whole number from %d to %d", v, least, most)
		return least
	}
	return n
}

// Yes reads yes or no.
func (l *Line) Yes(name string, into *bool) {
	if v, ok := l.Opt(name); ok {
		*into = OneOf(l, name, v, "yes", "no") == "yes"
	}
}

// OneOf reads one of the words that a field may be.
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

// PerSecond reads a rate such as 200/s.
func (l *Line) PerSecond(v string) float64 {
	digits, ok := strings.CutSuffix(v, "/s")
	if !ok {
		l.Fail(v, "a rate is a number a second, such as 200/s")
		return 0
	}
	return l.ParseNumber(v, digits, 0, 1e7)
}
