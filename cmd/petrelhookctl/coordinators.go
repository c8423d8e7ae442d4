package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/rollout"
)

// coordinatorFlags holds the flags of the subcommands that call coordinators.
type coordinatorFlags struct {
	addrs   []string
	output  string
	timeout time.Duration // time-out of one call
}

func (a *coordinatorFlags) add(cmd *cobra.Command) {
	addrs := []string{fleet.DefaultAddr}
	if text := os.Getenv("PETRELFLEET_ADDRS"); text != "" {
		addrs = strings.Split(text, ",")
	}
	cmd.PersistentFlags().StringSliceVar(&a.addrs, "addrs", addrs, "`HOST:PORT,...` of the coordinators; by default $PETRELFLEET_ADDRS")
	cmd.PersistentFlags().StringVar(&a.output, "output", outputText, "text or json")
	cmd.PersistentFlags().DurationVar(&a.timeout, "within", 10*time.Second, "time-out of a call")
}

// operator checks the flags and returns a client of the coordinators.
func (a *coordinatorFlags) operator() (*fleet.Operator, error) {
	if err := checkOutput(a.output, outputText, outputJSON); err != nil {
		return nil, err
	}
	o := &fleet.Operator{Addrs: a.addrs}
	return o, o.Check()
}

// withTimeout returns the context of one call.
func (a *coordinatorFlags) withTimeout(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), a.timeout)
}

// call sends a request to the leader and returns its response.
func (a *coordinatorFlags) call(cmd *cobra.Command, request fleet.Request) (*fleet.Response, error) {
	o, err := a.operator()
	if err != nil {
		return nil, err
	}
	ctx, cancel := a.withTimeout(cmd)
	defer cancel()
	response, err := o.Call(ctx, request)
	if err != nil {
		return nil, runError{err}
	}
	return response, nil
}

// application returns an application's changes. If results is set, the last change has the results of its stages. It is an error if no
// change was ever begun.
func (a *coordinatorFlags) application(cmd *cobra.Command, name string, results bool) (*rollout.Application, error) {
	response, err := a.call(cmd, fleet.Request{Changes: &name, StageResults: results})
	if err != nil {
		return nil, err
	}
	if len(response.Changes) == 0 {
		return nil, runError{fmt.Errorf("%s: no change was ever begun", name)}
	}
	app := &rollout.Application{}
	if err := json.Unmarshal(response.Changes, app); err != nil {
		return nil, runError{fmt.Errorf("decoding the changes of %s: %w", name, err)}
	}
	return app, nil
}

// print writes a result in the format of --output.
func (a *coordinatorFlags) print(cmd *cobra.Command, v any, text func(w *tabwriter.Writer)) error {
	return writeResult(cmd, a.output, v, text)
}
