package capacity

import (
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteText writes all tables as aligned lines.
func (r *Report) WriteText(to io.Writer) error {
	for i, t := range r.Tables() {
		if i > 0 {
			fmt.Fprintln(to)
		}
		fmt.Fprintln(to, t.Title)
		if len(t.Rows) == 0 {
			fmt.Fprintln(to, t.Empty)
			continue
		}
		w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, strings.Join(t.Head, "\t"))
		for _, row := range t.Rows {
			fmt.Fprintln(w, strings.Join(row, "\t"))
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// WriteMarkdown writes all tables, each under its title.
func (r *Report) WriteMarkdown(to io.Writer) error {
	for i, t := range r.Tables() {
		if i > 0 {
			fmt.Fprintln(to)
		}
		if _, err := fmt.Fprintf(to, "### %s\n\n%s", t.Title, t.markdown()); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table) markdown() string {
	if len(t.Rows) == 0 {
		return t.Empty + "\n"
	}
	var b strings.Builder
	line := func(cells []string) {
		b.WriteString("|")
		for _, c := range cells {
			b.WriteString(strings.TrimRight(" "+strings.ReplaceAll(c, "|", `\|`), " ") + " |")
		}
		b.WriteString("\n")
	}
	line(t.Head)
	line(slices.Repeat([]string{"---"}, len(t.Head)))
	for _, row := range t.Rows {
		line(row)
	}
	return b.String()
}

// The marks of a table in a page. What stands between them is the program's, all else the writer's.
const (
	beginMark = "<!-- tables: begin"
	endMark   = "<!-- tables: end -->"
)

var tableMark = regexp.MustCompile(`(?m)^<!-- tables: begin((?: [a-z0-9-]+)*) -->\n`)

// Page puts the tables into a page between their marks: a line `<!-- tables: begin NAME ... -->`, where no name
// stands for all that no other marks name, and `<!-- tables: end -->`. Every error names the file and line.
func (r *Report) Page(file, page string) (string, error) {
	tables := r.Tables()
	at := tableMark.FindAllStringSubmatchIndex(page, -1)
	named := map[string]bool{}
	for _, m := range at {
		for _, name := range strings.Fields(page[m[2]:m[3]]) {
			line := 1 + strings.Count(page[:m[0]], "\n")
			if !slices.ContainsFunc(tables, func(t Table) bool { return t.Name == name }) {
				return "", fmt.Errorf("%s:%d: %s: no such table; write one of %s", file, line, name, names(tables))
			}
			if named[name] {
				return "", fmt.Errorf("%s:%d: %s: comes twice", file, line, name)
			}
			named[name] = true
		}
	}
	if len(at) == 0 {
		return "", fmt.Errorf("%s: no marks; write a line %s --> and a line %s", file, beginMark, endMark)
	}
	var b strings.Builder
	rest := 0
	for _, m := range at {
		line := 1 + strings.Count(page[:m[0]], "\n")
		if m[0] < rest {
			return "", fmt.Errorf("%s:%d: a begin before the end of the one above", file, line)
		}
		close := strings.Index(page[m[1]:], endMark)
		if close < 0 {
			return "", fmt.Errorf("%s:%d: no end; write a line %s", file, line, endMark)
		}
		b.WriteString(page[rest:m[1]])
		asked := strings.Fields(page[m[2]:m[3]])
		first := true
		for _, t := range tables {
			all := len(asked) == 0 && !named[t.Name]
			if !all && !slices.Contains(asked, t.Name) {
				continue
			}
			if !first {
				b.WriteString("\n")
			}
			if first = false; all || len(asked) > 1 {
				b.WriteString("### " + t.Title + "\n\n")
			}
			b.WriteString(t.markdown())
		}
		rest = m[1] + close
	}
	b.WriteString(page[rest:])
	return b.String(), nil
}

func names(all []Table) string {
	var names []string
	for _, t := range all {
		names = append(names, t.Name)
	}
	return strings.Join(names, ", ")
}
