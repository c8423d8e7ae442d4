package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/coordination/driver"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rollout"
)

func rolloutStartCommand() *cobra.Command {
	a := &coordinatorFlags{}
	var stepsDone bool
	cmd := &cobra.Command{
		Use: "start PLAN", Args: cobra.ExactArgs(1), Short: "Begin a change by a plan (YAML), once everything is checked",
		Long: "Asks all agents whether they have both releases and whether the new program takes its settings, compares old and new\n" +
			"settings, and has the coordinators begin the change. Where anything is wrong nothing has moved.",
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := a.operator()
			if err != nil {
				return err
			}
			f, err := driver.ReadPlan(args[0])
			if err != nil {
				return runError{err}
			}
			printWarnings(cmd, f.Warnings)
			b, err := driver.Begin(cmd.Context(), o, &http.Client{Timeout: 2 * checkTimeout}, f, stepsDone)
			if err != nil {
				return runError{err}
			}
			return a.print(cmd, b, func(w *tabwriter.Writer) {
				fmt.Fprintf(w, "change %s of %s has begun: %d sidecars\n", b.Change, f.Plan.Application, b.Sidecars)
			})
		},
	}
	a.add(cmd)
	cmd.Flags().BoolVar(&stepsDone, "steps-done", false, "what plan says is to be done besides, in two steps, was done")
	return cmd
}

func rolloutStatusCommand() *cobra.Command {
	a := &coordinatorFlags{}
	var live bool
	var every time.Duration
	cmd := &cobra.Command{
		Use: "status APPLICATION", Args: cobra.ExactArgs(1), Short: "Where the change stands, and why it waits; 1: it is paused or was stopped",
		RunE: func(cmd *cobra.Command, args []string) error {
			if live {
				if every < 100*time.Millisecond {
					return fmt.Errorf("--every: %v; write 100ms or more", every)
				}
				if err := a.watch(cmd, args[0], every); err != nil {
					return err
				}
			}
			app, err := a.application(cmd, args[0], false)
			if err != nil {
				return err
			}
			s := app.Current.State
			err = a.print(cmd, app.Current, func(w *tabwriter.Writer) { writeStatus(w, app.Current) })
			if err == nil && (s.Phase == rollout.Paused || s.Phase == rollout.RollingBack || s.Phase == rollout.Stopped) {
				return errNegativeResult
			}
			return err
		},
	}
	a.add(cmd)
	cmd.Flags().BoolVar(&live, "watch", false, "show it until it is over or paused: anew on a terminal, else a line for each step")
	cmd.Flags().DurationVar(&every, "every", time.Second, "how often, with --watch")
	return cmd
}

func writeStatus(w *tabwriter.Writer, c *rollout.Change) {
	s := c.State
	fmt.Fprintf(w, "%s\tchange %s\t%v\tstage %d of %d\t%s\n", s.Plan.Application, c.Name, s.Phase, s.Stage, len(s.Plan.Stages), s.Reason)
	if s.Phase == rollout.Running {
		fmt.Fprintf(w, "waits for\t%s\n", s.WaitingFor())
	}
	fmt.Fprintln(w, "SIDECAR\tSTAGE\tRELEASE\tREADY\tORDER\t")
	for _, side := range s.Sidecars() {
		order := ""
		switch {
		case side.AbandonedReason != "":
			order = "left alone: " + side.AbandonedReason
		case side.OpenOrder != 0:
			order = fmt.Sprintf("%d: to %s", side.OpenOrder, side.OrderedRelease)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%v\t%s\t\n", side.Name, s.StageOf(side.Name), side.Release, side.Ready, order)
	}
}

// rolloutEventCommand is a subcommand that sends an operator's event for the current change.
func rolloutEventCommand(use, short string, flags func(*cobra.Command), event func() rollout.Event) *cobra.Command {
	a := &coordinatorFlags{}
	cmd := &cobra.Command{
		Use: use + " APPLICATION", Args: cobra.ExactArgs(1), Short: short,
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := a.sendEvent(cmd, args[0], event()); err != nil {
				return err
			}
			app, err := a.application(cmd, args[0], false)
			if err != nil {
				return err
			}
			return a.print(cmd, app.Current, func(w *tabwriter.Writer) { writeStatus(w, app.Current) })
		},
	}
	a.add(cmd)
	flags(cmd)
	return cmd
}

// sendEvent sends an event for the current change of an application.
func (a *coordinatorFlags) sendEvent(cmd *cobra.Command, application string, event rollout.Event) error {
	app, err := a.application(cmd, application, false)
	if err != nil {
		return err
	}
	response, err := a.call(cmd, fleet.Request{Rollout: &rollout.Command{Application: application, Change: app.Current.Name,
		AtMillis: time.Now().UnixMilli(), Events: []rollout.Event{event}}})
	if err != nil {
		return err
	}
	if response.Rollout.Error != "" {
		return runError{errors.New(response.Rollout.Error)}
	}
	return nil
}

func rolloutEventCommands() []*cobra.Command {
	var pauseReason, abortReason string
	var accept bool
	return []*cobra.Command{
		rolloutEventCommand("pause", "Change no further sidecar for now", func(c *cobra.Command) {
			c.Flags().StringVar(&pauseReason, "why", "an operator paused it", "what others read")
		}, func() rollout.Event { return rollout.Event{Pause: pauseReason} }),
		rolloutEventCommand("resume", "Go on after a pause; the stage is watched anew", func(c *cobra.Command) {
			c.Flags().BoolVar(&accept, "accept", false, "take the stage for no worse, though there is not enough evidence")
		}, func() rollout.Event { return rollout.Event{Resume: true, Accept: accept} }),
		rolloutEventCommand("abort", "End the change: what was changed is rolled back, unless the plan says disable_rollback", func(c *cobra.Command) {
			c.Flags().StringVar(&abortReason, "why", "an operator aborted it", "what others read")
		}, func() rollout.Event { return rollout.Event{Abort: abortReason} }),
	}
}

func rolloutHistoryCommand() *cobra.Command {
	return showChangesCommand("history", "The steps of this change and of those before", false, func(cmd *cobra.Command, a *coordinatorFlags, app *rollout.Application) error {
		return a.print(cmd, app, func(w *tabwriter.Writer) { writeHistory(w, app) })
	})
}

// showChangesCommand returns a subcommand that shows an application's changes. results: show also needs the results of the stages of the
// last one.
func showChangesCommand(use, short string, results bool, show func(*cobra.Command, *coordinatorFlags, *rollout.Application) error) *cobra.Command {
	a := &coordinatorFlags{}
	cmd := &cobra.Command{
		Use: use + " APPLICATION", Args: cobra.ExactArgs(1), Short: short,
		RunE: func(cmd *cobra.Command, args []string) error {
			app, err := a.application(cmd, args[0], results)
			if err != nil {
				return err
			}
			return show(cmd, a, app)
		},
	}
	a.add(cmd)
	return cmd
}

// writeHistory writes the transitions of an application's changes, the oldest first.
func writeHistory(w *tabwriter.Writer, app *rollout.Application) {
	for _, past := range app.Past {
		writeTransitions(w, past.Name, past.Plan, past.Transitions)
	}
	writeTransitions(w, app.Current.Name, app.Current.State.Plan.String(), app.Current.Transitions)
}

func writeTransitions(w *tabwriter.Writer, name, plan string, all []rollout.Transition) {
	fmt.Fprintf(w, "%s\t%s\n", name, plan)
	for _, t := range all {
		fmt.Fprintf(w, "\t%s\t%s\tstage %d\t%s\n", time.UnixMilli(t.AtMillis).UTC().Format(time.RFC3339), t.Phase, t.Stage, t.Reason)
	}
}

func releaseCommand() *cobra.Command {
	var dir, program, settings string
	cmd := &cobra.Command{Use: "release", Short: "Releases: a program and its settings, named by their content"}
	add := &cobra.Command{Use: "add --store FOLDER --program FILE --settings FILE", Args: cobra.NoArgs, Short: "Put a release into a machine's store, and say its name",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if dir == "" || program == "" || settings == "" {
				return errors.New("write --store, --program and --settings")
			}
			r, err := addRelease(dir, program, settings)
			if err != nil {
				return runError{err}
			}
			fmt.Fprintln(cmd.OutOrStdout(), r.ID)
			return nil
		}}
	add.Flags().StringVar(&dir, "store", "", "the `FOLDER` of releases, as the agent's file names it")
	add.Flags().StringVar(&program, "program", "", "the sidecar, a `FILE`")
	add.Flags().StringVar(&settings, "settings", "", "its settings, a `FILE` (JSON) without what is one sidecar's own")
	cmd.AddCommand(add)
	return cmd
}

func addRelease(dir, program, settings string) (r release.Release, err error) {
	p, err := os.Open(program)
	if err != nil {
		return r, err
	}
	defer func() { _ = p.Close() }() // it was only read
	s, err := os.Open(settings)
	if err != nil {
		return r, err
	}
	defer func() { _ = s.Close() }()
	store, err := release.NewStore(dir)
	if err != nil {
		return r, err
	}
	return store.Add(p, s)
}
