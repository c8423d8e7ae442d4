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

// Report is what an experiment has shown, at one size.
type Report struct {
	Routers, Servers, Seeds int
	Outcomes                []Outcome
}

// Scaled is the spec for another number of routers: servers, rates and what prompts share grow with them.
func (s *Spec) Scaled(routers int) *Spec {
	scaled := *s
	factor := float64(routers) / float64(s.Routers)
	scaled.Routers = routers
	scaled.Servers = max(s.Zones, int(float64(s.Servers)*factor+0.5))
	scaled.Classes = slices.Clone(s.Classes)
	for i := range scaled.Classes {
		c := &scaled.Classes[i]
		c.Rate *= factor
		c.Shared = slices.Clone(c.Shared)
		for j := range c.Shared {
			if c.Shared[j].Things > scaled.Servers { // what few things are shared by all stays so
				c.Shared[j].Things = max(1, int(float64(c.Shared[j].Things)*factor+0.5))
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

// WriteText writes reports as tables: a row a figure, a column a policy, each the mean over the seeds and half of its 95 % interval.
func WriteText(w io.Writer, reports []Report) error {
	for _, r := range reports {
		fmt.Fprintf(w, "%d routers, %d servers, %d seeds: mean, and half of its 95 %% interval\n", r.Routers, r.Servers, r.Seeds)
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		var names []string
		for _, o := range r.Outcomes {
			names = append(names, o.Policy)
		}
		fmt.Fprintf(table, "\t%s\n", strings.Join(names, "\t"))
		for _, figure := range slices.Sorted(maps.Keys(r.Outcomes[0].Figures)) {
			fmt.Fprint(table, figure)
			for _, o := range r.Outcomes {
				e := o.Figures[figure]
				fmt.Fprintf(table, "\t%.4g ±%.2g", e.Mean, e.Half)
			}
			fmt.Fprintln(table)
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	return nil
}
