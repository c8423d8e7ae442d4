package engines

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Report is the result of an experiment at one size. It is written as JSON, too.
type Report struct {
	Routers, Servers, Seeds int
	Outcomes                []Outcome
}

// Scaled is the spec for another number of routers: servers, rates and the variants of shared parts grow with them.
func (s *Spec) Scaled(routers int) *Spec {
	scaled := *s
	factor := float64(routers) / float64(s.Routers)
	scaled.Routers = routers
	scaled.Servers = max(s.Zones, int(float64(s.Servers)*factor+0.5))
	scaled.Classes = slices.Clone(s.Classes)
	for i := range scaled.Classes {
		c := &scaled.Classes[i]
		c.Rate *= factor
		c.SharedParts = slices.Clone(c.SharedParts)
		for j := range c.SharedParts {
			if c.SharedParts[j].Variants > scaled.Servers { // a part with few variants, which all share, stays so
				c.SharedParts[j].Variants = max(1, int(float64(c.SharedParts[j].Variants)*factor+0.5))
			}
		}
	}
	return &scaled
}

// WriteJSON writes reports for programs.
func WriteJSON(w io.Writer, reports []Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(reports)
}

// WriteText writes reports as tables: a row for each metric, a column for each policy, with the mean over the seeds and half of its 95 % interval.
func WriteText(w io.Writer, reports []Report) error {
	for _, r := range reports {
		fmt.Fprintf(w, "%d routers, %d servers, %d seeds: mean, and half of its 95 %% interval\n", r.Routers, r.Servers, r.Seeds)
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		var names []string
		for _, o := range r.Outcomes {
			names = append(names, o.Policy)
		}
		fmt.Fprintf(table, "\t%s\n", strings.Join(names, "\t"))
		for _, metric := range slices.Sorted(maps.Keys(r.Outcomes[0].Metrics)) {
			fmt.Fprint(table, metric)
			for _, o := range r.Outcomes {
				e := o.Metrics[metric]
				fmt.Fprintf(table, "\t%.4g ±%.2g", e.Mean, e.HalfInterval)
			}
			fmt.Fprintln(table)
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	return nil
}
