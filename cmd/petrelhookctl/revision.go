package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/fleet"
)

func revisionCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "revision", Short: "Publish and show the versions of a service's configuration, which all its sidecars receive"}
	cmd.AddCommand(revisionPublishCommand(), revisionStatusCommand(), revisionShowCommand())
	return cmd
}

func revisionPublishCommand() *cobra.Command {
	a := &coordinatorFlags{}
	var wait time.Duration
	var stepsDone bool
	cmd := &cobra.Command{
		Use: "publish SERVICE FILE", Args: cobra.ExactArgs(2),
		Short: "Publish a service's configuration: a JSON object whose fields replace those of the sidecars' release",
		Long: `Publishes the version exactly once and prints its revision. With --wait it waits until the version is in force on all sidecars
of the service from which the coordinators have reports. Exit code 1: the version was refused, or not in force everywhere in time.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := a.operator()
			if err != nil {
				return err
			}
			service, file := args[0], args[1]
			content, err := os.ReadFile(file)
			if err != nil {
				return runError{err}
			}
			ctx, cancel := a.withTimeout(cmd)
			defer cancel()
			revision, alreadyPublished, err := o.Publish(ctx, service, content, stepsDone)
			switch {
			case errors.Is(err, fleet.ErrOvertaken) || errors.Is(err, fleet.ErrUnanswered):
				return runError{fmt.Errorf("%s: %w", service, err)}
			case err != nil:
				return runError{fmt.Errorf("%s: %w", file, err)}
			}
			if wait > 0 {
				return a.awaitInForce(cmd, o, service, revision, wait)
			}
			return a.print(cmd, map[string]any{"service": service, "revision": revision, "already": alreadyPublished}, func(w *tabwriter.Writer) {
				note := ""
				if alreadyPublished {
					note = "\tit is the newest already"
				}
				fmt.Fprintf(w, "%s\trevision %d%s\n", service, revision, note)
			})
		},
	}
	a.add(cmd)
	cmd.Flags().BoolVar(&stepsDone, "steps-done", false, "the steps that must be done elsewhere first have been done (petrelhookctl rollout plan names them)")
	cmd.Flags().DurationVar(&wait, "wait", 0, "how long to wait until the version is in force everywhere; 0: do not wait")
	return cmd
}

// pollInterval is the interval at which awaitInForce asks which revision is in force.
const pollInterval = 500 * time.Millisecond

// awaitInForce waits until a revision is in force on all sidecars of a service or the time wait has passed, and prints the summary. It
// returns errNegativeResult if the revision is not in force everywhere by then.
func (a *coordinatorFlags) awaitInForce(cmd *cobra.Command, o *fleet.Operator, service string, revision distribute.Revision, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for late := false; ; {
		summaries, coordinators := o.InForce(cmd.Context(), service)
		s := summaries[service]
		if inForce := s.Newest >= revision && s.Reported > 0 && s.InForce == s.Reported; inForce || late {
			err := a.printSummary(cmd, s, coordinators)
			if err == nil && !inForce {
				err = errNegativeResult
			}
			return err
		}
		select {
		case <-cmd.Context().Done():
			return runError{cmd.Context().Err()}
		case <-timer.C:
			late = true
		case <-tick.C:
		}
	}
}

func revisionStatusCommand() *cobra.Command {
	a := &coordinatorFlags{}
	cmd := &cobra.Command{
		Use: "status [SERVICE]", Args: cobra.MaximumNArgs(1),
		Short: "Show which version is in force on how many sidecars, and where and why it is not; exit code 1: the newest is not in force everywhere",
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := a.operator()
			if err != nil {
				return err
			}
			if len(args) == 0 {
				return a.printServices(cmd, o)
			}
			summaries, coordinators := o.InForce(cmd.Context(), args[0])
			s := summaries[args[0]]
			if err := a.printSummary(cmd, s, coordinators); err != nil {
				return err
			}
			if s.InForce != s.Reported {
				return errNegativeResult
			}
			return nil
		},
	}
	a.add(cmd)
	return cmd
}

// printServices prints a row for each service that has a version, and the coordinators that cannot answer. It returns errNegativeResult if
// the newest version of a service is not in force on all its sidecars.
func (a *coordinatorFlags) printServices(cmd *cobra.Command, o *fleet.Operator) error {
	summaries, coordinators := o.InForce(cmd.Context(), "")
	all := make([]distribute.Summary, 0, len(summaries))
	behind := false
	for _, service := range slices.Sorted(maps.Keys(summaries)) {
		s := summaries[service]
		behind = behind || s.InForce != s.Reported
		s.Sidecars = nil
		all = append(all, s)
	}
	err := a.print(cmd, all, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "SERVICE\tREVISION\tIN FORCE\tDIGEST")
		for _, s := range all {
			fmt.Fprintf(w, "%s\t%d\t%d of %d\t%.12s\n", s.Service, s.Newest, s.InForce, s.Reported, s.Digest)
		}
		printCoordinators(w, coordinators)
	})
	if err == nil && behind {
		err = errNegativeResult
	}
	return err
}

// printCoordinators prints the coordinators that failed to answer or are not in contact with a leader.
func printCoordinators(w *tabwriter.Writer, coordinators []fleet.CoordinatorSummary) {
	for _, c := range coordinators {
		switch {
		case c.Err != nil:
			fmt.Fprintf(w, "coordinator %s\t%v\n", c.Addr, c.Err)
		case !c.Fresh:
			fmt.Fprintf(w, "coordinator %s\tit reaches no leader, and serves no watches\n", c.Addr)
		}
	}
}

// printSummary prints the state of a service: the counts, and the sidecars on which the newest version is not in force.
func (a *coordinatorFlags) printSummary(cmd *cobra.Command, s distribute.Summary, coordinators []fleet.CoordinatorSummary) error {
	return a.print(cmd, s, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s\trevision %d\tin force at %d of %d\n", s.Service, s.Newest, s.InForce, s.Reported)
		for _, m := range s.Sidecars {
			if m.InForce == s.Newest {
				continue
			}
			reason := m.Reason
			if m.InForce > s.Newest {
				reason = "it has a version that these coordinators have lost; publish again"
			}
			fmt.Fprintf(w, "  %s\trevision %d\tlast contact %v ago\t%s\n", m.Sidecar, m.InForce, m.Age.Round(100*time.Millisecond), reason)
		}
		printCoordinators(w, coordinators)
	})
}

func revisionShowCommand() *cobra.Command {
	a := &coordinatorFlags{}
	cmd := &cobra.Command{
		Use: "show SERVICE", Args: cobra.ExactArgs(1), Short: "Show a service's newest version with its content",
		RunE: func(cmd *cobra.Command, args []string) error {
			response, err := a.call(cmd, fleet.Request{Versions: &args[0]})
			if err == nil && len(response.Versions) == 0 {
				err = runError{fmt.Errorf("%s: nothing was published for it", args[0])}
			}
			if err != nil {
				return err
			}
			v := response.Versions[0]
			return a.print(cmd, v, func(w *tabwriter.Writer) {
				fmt.Fprintf(w, "%s\trevision %d\t%s\n%s\n", v.Service, v.Revision, v.Digest, v.Content)
			})
		},
	}
	a.add(cmd)
	return cmd
}
