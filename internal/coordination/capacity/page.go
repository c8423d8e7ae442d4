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

// markdown writes the table without its title.
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

// The markers of tables in a page. Page replaces the text between them and keeps the rest.
const (
	beginMarker = "<!-- tables: begin"
	endMarker   = "<!-- tables: end -->"
)

// beginMarkerLine matches the line that begins a section. Its group holds the names of the section's tables.
var beginMarkerLine = regexp.MustCompile(`(?m)^<!-- tables: begin((?: [a-z0-9-]+)*) -->\n`)

// Page returns the page with the tables between their markers, which are the lines
//
//	<!-- tables: begin NAME ... -->
//	<!-- tables: end -->
//
// A marker without a name stands for all tables that no other marker names. An error names the file and, if a marker is at fault,
// its line.
func (r *Report) Page(file, page string) (string, error) {
	tables := r.Tables()
	sections, err := findSections(file, page)
	if err != nil {
		return "", err
	}
	named, err := namedTables(file, sections, tables)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	written := 0
	for _, s := range sections {
		b.WriteString(page[written:s.begin])
		s.write(&b, tables, named)
		written = s.end
	}
	b.WriteString(page[written:])
	return b.String(), nil
}

// section is the text between a pair of markers.
type section struct {
	line       int      // of the marker that begins it
	names      []string // of its tables; empty: all tables that no other section names
	begin, end int      // offsets of the text between the markers
}

// findSections finds the markers of a page.
func findSections(file, page string) (sections []section, err error) {
	end := 0 // end of the section before
	for _, m := range beginMarkerLine.FindAllStringSubmatchIndex(page, -1) {
		s := section{line: 1 + strings.Count(page[:m[0]], "\n"), names: strings.Fields(page[m[2]:m[3]]), begin: m[1]}
		if m[0] < end {
			return nil, fmt.Errorf("%s:%d: begins before the end of the section above", file, s.line)
		}
		length := strings.Index(page[s.begin:], endMarker)
		if length < 0 {
			return nil, fmt.Errorf("%s:%d: no end; write a line %s", file, s.line, endMarker)
		}
		s.end = s.begin + length
		end = s.end
		sections = append(sections, s)
	}
	if len(sections) == 0 {
		return nil, fmt.Errorf("%s: no markers; write a line %s --> and a line %s", file, beginMarker, endMarker)
	}
	return sections, nil
}

// namedTables returns the names of tables that the sections list. It is an error if there is no table of that name, or a name
// occurs twice.
func namedTables(file string, sections []section, tables []Table) (map[string]bool, error) {
	named := map[string]bool{}
	for _, s := range sections {
		for _, name := range s.names {
			if !slices.ContainsFunc(tables, func(t Table) bool { return t.Name == name }) {
				return nil, fmt.Errorf("%s:%d: %s: no such table; write one of %s", file, s.line, name, tableNames(tables))
			}
			if named[name] {
				return nil, fmt.Errorf("%s:%d: %s: comes twice", file, s.line, name)
			}
			named[name] = true
		}
	}
	return named, nil
}

// write writes the tables of a section. A table that is the only one listed has no title: the text of the page introduces it.
func (s *section) write(b *strings.Builder, tables []Table, named map[string]bool) {
	first := true
	for _, t := range tables {
		unnamed := len(s.names) == 0 && !named[t.Name]
		if !unnamed && !slices.Contains(s.names, t.Name) {
			continue
		}
		if !first {
			b.WriteString("\n")
		}
		if first = false; unnamed || len(s.names) > 1 {
			b.WriteString("### " + t.Title + "\n\n")
		}
		b.WriteString(t.markdown())
	}
}

func tableNames(tables []Table) string {
	var names []string
	for _, t := range tables {
		names = append(names, t.Name)
	}
	return strings.Join(names, ", ")
}
