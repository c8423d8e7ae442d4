package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/capacity"
	"petrelhook/internal/rig/routerscale"
)

// Sizes of a run of routers by default: the largest checks the fit of the others.
var routerSizes = []int{60, 120, 240, 400, 630}

func routersCommand() *cobra.Command {
	o := routerscale.Options{Target: 630}
	var file string
	cmd := &cobra.Command{
		Use: "routers", Args: cobra.NoArgs,
		Short: "Measure what a router fleet of some sizes costs its core and its sidecars",
		Long: "Starts petrelrouter processes as the core and, beside them, hollow sidecars (the product's own nodes without\n" +
			"clients) and hollow servers that send heartbeats. Everything is on loopback, and has ended when it returns.\n" +
			"Servers and tenants grow with the sidecars, up to --servers and --tenants at 630.",
		RunE: func(cmd *cobra.Command, _ []string) error { return runRouters(cmd, o, file) },
	}
	cmd.AddCommand(routersPageCommand())
	f := cmd.Flags()
	f.StringVar(&o.Router, "router", "target/petrelrouter", "the program petrelrouter")
	f.IntVar(&o.Core, "core", 7, "routers of the core")
	f.IntSliceVar(&o.Sizes, "sizes", routerSizes, "sidecars, the core included; the largest checks the fit of the others")
	f.IntVar(&o.Runs, "runs", 3, "runs of each size")
	f.DurationVar(&o.Steady, "steady", 5*time.Second, "how long each workload is measured")
	f.IntVar(&o.Servers, "servers", 6700, "servers beside 630 sidecars")
	f.IntVar(&o.Tenants, "tenants", 7700, "tenants beside 630 sidecars")
	f.IntVar(&o.Draws, "draws", 5, "draws of quotas a second, of each sidecar")
	f.IntVar(&o.Changes, "changes", 8, "changes of the configuration")
	f.StringVar(&file, "json", "", "write the points to this file")
	return cmd
}

// runRouters measures, and writes what was measured, also where a size failed.
func runRouters(cmd *cobra.Command, o routerscale.Options, file string) error {
	if err := checkRouters(o); err != nil {
		return err
	}
	o.Progress = func(what string) { fmt.Fprintln(cmd.ErrOrStderr(), what) }
	points, failed := routerscale.Run(cmd.Context(), o)
	m := capacity.Measured{At: time.Now().UTC().Truncate(time.Second), Points: points, FitUpTo: o.Sizes[max(0, len(o.Sizes)-2)],
		Machine: fmt.Sprintf("%d processors", runtime.NumCPU())}
	if failed != nil {
		m.Findings = append(m.Findings, failed.Error())
	}
	text, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return err
	}
	if file == "" {
		_, err = cmd.OutOrStdout().Write(append(text, '\n'))
	} else {
		err = os.WriteFile(file, append(text, '\n'), 0o644)
	}
	if failed != nil {
		return runError{failed}
	}
	return err
}

// maxRouters is how many sidecars fit on one machine's loopback.
const maxRouters = 2000

func checkRouters(o routerscale.Options) error {
	if o.Core < 2 || o.Runs < 1 || len(o.Sizes) == 0 {
		return errors.New("--core takes 2 or more, --runs 1 or more, --sizes at least one")
	}
	for _, size := range o.Sizes {
		if size <= o.Core || size > maxRouters {
			return fmt.Errorf("--sizes: %d; write more than --core, %d at most", size, maxRouters)
		}
	}
	return nil
}

// routersPageCommand writes the table of docs/CAPACITY.md from the points of a run.
func routersPageCommand() *cobra.Command {
	var points string
	var check bool
	cmd := &cobra.Command{
		Use: "page FILE", Args: cobra.ExactArgs(1),
		Short: "Write the table of a page from the points of a run, or check that it is what they say",
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(points)
			if err != nil {
				return runError{err}
			}
			m, err := capacity.ParseMeasured(points, text)
			if err != nil {
				return runError{err}
			}
			page, err := os.ReadFile(args[0])
			if err != nil {
				return runError{err}
			}
			next, err := capacity.RouterPage(string(page), m, capacity.Router)
			if err != nil {
				return runError{fmt.Errorf("%s: %w", args[0], err)}
			}
			if check {
				if next != string(page) {
					return runError{fmt.Errorf("%s is not what %s says: petrelctl routers page %s", args[0], points, args[0])}
				}
				return nil
			}
			return os.WriteFile(args[0], []byte(next), 0o644)
		},
	}
	cmd.Flags().StringVar(&points, "points", "deploy/routers-measured.json", "what petrelctl routers --json left")
	cmd.Flags().BoolVar(&check, "check", false, "change nothing; exit 1 where the page says something else")
	return cmd
}
