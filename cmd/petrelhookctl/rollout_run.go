package main

import (
	"errors"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/coordination/driver"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/rollout"
)

func rolloutStartCommand() *cobra.Command {
	a := &coordinatorFlags{}
	var stepsDone bool
	cmd := &cobra.Command{
		Use: "start PLAN", Args: cobra.ExactArgs(1), Short: "Check a plan (YAML) and start its change if all checks pass",
		Long: "Asks all agents whether they have both releases and whether the new program accepts its settings, compares the old and\n" +
			"the new settings, and makes the coordinators begin the change. If a check fails, nothing is changed.",
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
	cmd.Flags().BoolVar(&stepsDone, "steps-done", false, "the steps elsewhere that petrelhookctl rollout plan names have been done")
	return cmd
}

func rolloutStatusCommand() *cobra.Command {
	a := &coordinatorFlags{}
	var live bool
	var every time.Duration
	cmd := &cobra.Command{
		Use: "status APPLICATION", Args: cobra.ExactArgs(1), Short: "Show the state of the change and what it waits for; exit code 1: it is paused, is being rolled back or was stopped",
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
	cmd.Flags().BoolVar(&live, "watch", false, "show the change until it is over or paused: redrawn on a terminal, otherwise one line per step")
	cmd.Flags().DurationVar(&every, "every", time.Second, "interval of polls, with --watch")
	return cmd
}

func writeStatus(w *tabwriter.Writer, c *rollout.Change) {
	s := c.State
	fmt.Fprintf(w, "%s\tchange %s\t%v\tstage %d of %d\t%s\n", s.Plan.Application, c.Name, s.Phase, s.Stage, len(s.Plan.Stages), s.Reason)
	if s.Phase == rollout.Running {
		fmt.Fprintf(w, "waits for\t%s\n", s.WaitingFor())
	}
	fmt.Fprintln(w, "SIDECAR\tSTAGE\tRELEASE\tREADY\tORDER\t")
	for _, sidecar := range s.Sidecars() {
		order := ""
		switch {
		case sidecar.AbandonedReason != "":
			order = "left alone: " + sidecar.AbandonedReason
		case sidecar.OpenOrder != 0:
			order = fmt.Sprintf("%d: to %s", sidecar.OpenOrder, sidecar.OrderedRelease)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%v\t%s\t\n", sidecar.Name, s.StageOf(sidecar.Name), sidecar.Release, sidecar.Ready, order)
	}
}

// rolloutEventCommand returns a subcommand that sends an operator's event for the current change and prints the change's new state. It calls
// event after the flags were parsed.
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

// sendEvent sends an event for an application's current change. It returns the coordinators' reason as an error if they refuse the event.
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
		rolloutEventCommand("pause", "Change no further sidecars until the change is resumed", func(c *cobra.Command) {
			c.Flags().StringVar(&pauseReason, "why", "an operator paused it", "the reason, which is shown to others")
		}, func() rollout.Event { return rollout.Event{Pause: pauseReason} }),
		rolloutEventCommand("resume", "Continue after a pause; the stage is observed again from its start", func(c *cobra.Command) {
			c.Flags().BoolVar(&accept, "accept", false, "treat the stage as no worse although there is not enough evidence")
		}, func() rollout.Event { return rollout.Event{Resume: true, Accept: accept} }),
		rolloutEventCommand("abort", "End the change; sidecars that were changed are rolled back unless the plan sets disable_rollback", func(c *cobra.Command) {
			c.Flags().StringVar(&abortReason, "why", "an operator aborted it", "the reason, which is shown to others")
		}, func() rollout.Event { return rollout.Event{Abort: abortReason} }),
	}
}

func rolloutHistoryCommand() *cobra.Command {
	return showChangesCommand("history", "Show the transitions of the current change and of earlier ones", false, func(cmd *cobra.Command, a *coordinatorFlags, app *rollout.Application) error {
		return a.print(cmd, app, func(w *tabwriter.Writer) { writeHistory(w, app) })
	})
}

// showChangesCommand returns a subcommand that shows an application's changes. results must be set if show needs the results of the last
// change's stages.
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

// writeHistory writes the transitions of an application's changes, oldest first.
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
