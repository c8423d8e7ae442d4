package scenario

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

// line is one statement: words, then options of the form name=value. Its methods take these away one by one; the first
// thing that is wrong is kept in err, and everything after it reads as zero.
type line struct {
	file  string
	no    int
	verb  string
	words []string
	names []string // of options, in order
	opts  map[string]string
	err   error
}

// newLine splits a line; nil: there is no statement on it.
func newLine(file string, no int, text string) *line {
	text, _, _ = strings.Cut(text, "#")
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return nil
	}
	l := &line{file: file, no: no, verb: fields[0], opts: map[string]string{}}
	for _, f := range fields[1:] {
		name, value, isOpt := strings.Cut(f, "=")
		switch _, twice := l.opts[name]; {
		case !isOpt:
			l.words = append(l.words, f)
		case name == "":
			l.fail(f, "an option is name=value")
		case twice:
			l.fail(name, "given twice")
		default:
			l.names = append(l.names, name)
			l.opts[name] = value
		}
	}
	return l
}

func (l *line) fail(field, format string, args ...any) {
	if field == "" { // a word that is empty is not worth naming
		field = l.verb
	}
	if l.err == nil {
		l.err = &Error{File: l.file, Line: l.no, Field: field, Msg: fmt.Sprintf(format, args...)}
	}
}

// word takes the next word.
func (l *line) word(what string) string {
	if len(l.words) == 0 {
		l.fail(l.verb, "%s is missing", what)
		return ""
	}
	w := l.words[0]
	l.words = l.words[1:]
	return w
}

// literal takes the next word if it is w.
func (l *line) literal(w string) bool {
	if len(l.words) == 0 || l.words[0] != w {
		return false
	}
	l.words = l.words[1:]
	return true
}

// end refuses what is left over, and names what could have stood there.
func (l *line) end(known ...string) error {
	if len(l.words) > 0 {
		l.fail(l.words[0], "not expected here")
	}
	for _, name := range l.names {
		if _, left := l.opts[name]; left {
			if len(known) == 0 {
				l.fail(name, "%s takes no options", l.verb)
			}
			l.fail(name, "unknown option; %s takes %s", l.verb, strings.Join(known, ", "))
		}
	}
	return l.err
}

func (l *line) opt(name string) (string, bool) {
	v, ok := l.opts[name]
	delete(l.opts, name)
	return v, ok
}

// duration reads an option such as 250ms, of at least zero.
func (l *line) duration(name string, into *time.Duration) {
	if v, ok := l.opt(name); ok {
		*into = l.parseDuration(name, v)
	}
}

func (l *line) parseDuration(field, v string) time.Duration {
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 || d > 1000*time.Hour {
		l.fail(field, "%q is no duration such as 250ms or 1.5s", v)
		return 0
	}
	return d
}

// span reads 5ms or 5ms..10ms.
func (l *line) span(name string, into *Span) {
	v, ok := l.opt(name)
	if !ok {
		return
	}
	from, to, isRange := strings.Cut(v, "..")
	into.From = l.parseDuration(name, from)
	if into.To = into.From; isRange {
		into.To = l.parseDuration(name, to)
	}
	if into.To < into.From {
		l.fail(name, "%q ends before it begins", v)
	}
}

// number reads a number within bounds; 40% is 0.4.
func (l *line) number(name string, into *float64, least, most float64) {
	if v, ok := l.opt(name); ok {
		*into = l.parseNumber(name, v, least, most)
	}
}

func (l *line) parseNumber(field, v string, least, most float64) float64 {
	digits, percent := strings.CutSuffix(v, "%")
	n, err := strconv.ParseFloat(digits, 64)
	if percent {
		n /= 100
	}
	if err != nil || math.IsNaN(n) || n < least || n > most {
		l.fail(field, "%q is no number from %v to %v", v, least, most)
		return 0
	}
	return n
}

func (l *line) integer(name string, into *int, least, most int) {
	if v, ok := l.opt(name); ok {
		*into = l.parseInteger(name, v, least, most)
	}
}

func (l *line) parseInteger(field, v string, least, most int) int {
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most {
		l.fail(field, "%q is no whole number from %d to %d", v, least, most)
		return least
	}
	return n
}

func (l *line) yes(name string, into *bool) {
	if v, ok := l.opt(name); ok {
		*into = oneOf(l, name, v, "yes", "no") == "yes"
	}
}

// oneOf reads one of the words that a field may be.
func oneOf[T ~string](l *line, field, v string, choices ...T) T {
	if i := slices.Index(choices, T(v)); i >= 0 {
		return choices[i]
	}
	names := make([]string, len(choices))
	for i, c := range choices {
		names[i] = string(c)
	}
	l.fail(field, "%q is none of %s", v, strings.Join(names, ", "))
	return choices[0]
}

// perSecond reads a rate such as 200/s.
func (l *line) perSecond(v string) float64 {
	digits, ok := strings.CutSuffix(v, "/s")
	if !ok {
		l.fail(v, "a rate is a number a second, such as 200/s")
		return 0
	}
	return l.parseNumber(v, digits, 0, 1e7)
}
