package scale

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"petrelhook/internal/coordination/capacity"
)

// WriteText writes the medians of the runs as a table with a line for each metric and a column for each size, and the findings.
func WriteText(w io.Writer, m *capacity.Measured) error {
	fmt.Fprintf(w, "%s; %s; seed %d\n", m.Machine, m.Commit, m.Seed)
	type row struct{ workload, role, metric string }
	var rows []row
	var sizes []int
	values := map[row]map[int][]float64{}
	for _, p := range m.Points {
		at := row{p.Workload, p.Role, p.Metric}
		if values[at] == nil {
			values[at] = map[int][]float64{}
			place := afterLast(rows, func(r row) bool { return r.workload == at.workload && r.role == at.role })
			rows = slices.Insert(rows, place, at)
		}
		if !slices.Contains(sizes, p.Size) {
			sizes = append(sizes, p.Size)
		}
		values[at][p.Size] = append(values[at][p.Size], p.Value)
	}
	slices.Sort(sizes)
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	last := row{}
	for _, at := range rows {
		if at.workload != last.workload || at.role != last.role {
			name := fmt.Sprintf("%s, %s:", at.workload, at.role)
			for _, n := range sizes {
				name += fmt.Sprintf("\t%d", n)
			}
			fmt.Fprintln(table, name+"\t")
		}
		last = at
		fmt.Fprintf(table, "%s\t", at.metric)
		for _, n := range sizes {
			fmt.Fprintf(table, "%s\t", formatMedian(values[at][n]))
		}
		fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, f := range m.Findings {
		if _, err := fmt.Fprintln(w, "found:", f); err != nil {
			return err
		}
	}
	return nil
}

// afterLast is the index after the last element for which is holds, or the end if there is none.
func afterLast[T any](all []T, is func(T) bool) int {
	for i, v := range slices.Backward(all) {
		if is(v) {
			return i + 1
		}
	}
	return len(all)
}

// formatMedian is the median of some values, with as many digits as are useful.
func formatMedian(all []float64) string {
	if len(all) == 0 {
		return "-"
	}
	all = slices.Sorted(slices.Values(all))
	v := (all[(len(all)-1)/2] + all[len(all)/2]) / 2
	switch {
	case v >= 100 || v == 0:
		return groupDigits(fmt.Sprintf("%.0f", v))
	case v >= 1:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.4f", v)
}

// groupDigits puts a comma before every three digits.
func groupDigits(digits string) string {
	var parts []string
	for len(digits) > 3 {
		parts = append(parts, digits[len(digits)-3:])
		digits = digits[:len(digits)-3]
	}
	parts = append(parts, digits)
	slices.Reverse(parts)
	return strings.Join(parts, ",")
}
