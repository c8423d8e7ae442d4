package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"petrelhook/internal/coordination/capacity"
	"petrelhook/internal/rig/scale"
	"petrelhook/internal/rig/usage"
)

func scaleCommand() *cobra.Command {
	o := scale.Options{}
	var output, file, memory string
	cmd := &cobra.Command{
		Use: "scale", Args: cobra.NoArgs,
		Short: "Measure the cost to each role of fleets of several sizes, with real coordinators and simulated members",
		Long: "Starts petrelhook-coordinator processes and simulated members, which make and answer the same calls as real ones and of\n" +
			"which one process runs many, and measures each role's processes from outside. Everything runs on loopback, and\n" +
			"all processes have ended when the command returns.\n\n" +
			"Workloads:\n" +
			"  renewals  sessions of the lease client (TTL 10s, its default), each with one lease\n" +
			"  looks     a driver's polls of the agents of one change, and then a change of all of them at once\n" +
			"  watches   agents that wait for versions of their service's configuration; none is published for 8.75s or more\n" +
			"  publish   the same while versions of 4 KiB are distributed, for 8s or longer each: at the ordinary rate, at\n" +
			"            that of the busiest minute (busy_), for all services at once (all_); at 250 members and at --check\n" +
			"            also while a follower, and then the leader, of the coordinators is killed (killed_, leader_killed_)\n\n" +
			"With --real, machines with a real agent and sidecar run beside the simulated members of watches and publish;\n" +
			"their sidecars serve calls, which are checked against the four rules. Versions come into force there in running\n" +
			"processes, and one by a hand-over (hand_over_); calls are timed without versions (quiet_) and with (versions_).\n\n" +
			"Figures are rates over a window of --steady; the table has the median of the runs, --json has all runs.\n" +
			"Exit code 1: a run failed or was not made. A size at which the product refuses the load is a finding, not a\n" +
			"failure.",
		RunE: func(cmd *cobra.Command, _ []string) (err error) {
			if err := checkOutput(output, outputText, outputJSON); err != nil {
				return err
			}
			if o.MemoryLimitBytes, err = parseMemoryLimit(memory); err != nil {
				return err
			}
			if err := o.Check(); err != nil {
				return err
			}
			if o.ProgramDir, err = programDir(o.ProgramDir); err != nil {
				return runError{err}
			}
			if f, ok := cmd.ErrOrStderr().(*os.File); ok && isTerminal(f) {
				o.Progress = func(what string) { fmt.Fprintf(f, "\r\033[K%s", what) }
				defer fmt.Fprint(f, "\r\033[K")
			}
			return measure(cmd, o, output, file)
		},
	}
	addScaleFlags(cmd.Flags(), &o)
	cmd.Flags().StringVar(&memory, "memory", "", "memory limit of all processes together, such as 6G (default: a quarter of the machine's memory)")
	cmd.Flags().StringVar(&output, "output", outputText, "format of the measurements: text or json")
	cmd.Flags().StringVar(&file, "json", "", "also write the measurements to `FILE`")
	cmd.AddCommand(scaleMembersCommand(), scaleMinderCommand())
	return cmd
}

func addScaleFlags(f *pflag.FlagSet, o *scale.Options) {
	f.StringVar(&o.ProgramDir, "bin", "", "`FOLDER` of the programs (default: that of this program)")
	f.StringSliceVar(&o.Workloads, "workloads", scale.Workloads, "workloads of the members")
	f.IntSliceVar(&o.Sizes, "sizes", []int{250, 500, 1000, 2000, 4000}, "numbers of members, to whose measurements a line is fitted")
	f.IntVar(&o.CheckSize, "check", 12_000, "larger number of members, at which the fitted line is checked; 0: no check")
	f.IntVar(&o.Runs, "runs", 3, "number of runs of each workload at each size")
	f.IntVar(&o.RealMachines, "real", 0, "number of machines with a real agent and sidecar beside the simulated members")
	f.DurationVar(&o.Window, "steady", 4*time.Second, "duration of a measurement once all members have joined")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the members; the same seed gives the same members")
	f.DurationVar(&o.Timeout, "within", 40*time.Minute, "time-out of the whole command; the default sizes and runs take about 30m")
}

// scaleMembersCommand returns the hidden subcommand that scale starts as a process of simulated members.
func scaleMembersCommand() *cobra.Command {
	return &cobra.Command{Use: "members", Hidden: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := scale.ServeMembers(cmd.Context(), cmd.InOrStdin(), cmd.OutOrStdout()); err != nil {
				return runError{err}
			}
			return nil
		}}
}

// scaleMinderCommand returns the hidden subcommand that scale starts as a watchdog: it ends the sidecars that are left over if scale itself
// is killed.
func scaleMinderCommand() *cobra.Command {
	return &cobra.Command{Use: "minder FOLDER", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := scale.MindSidecars(cmd.Context(), args[0], cmd.InOrStdin()); err != nil {
				return runError{err}
			}
			return nil
		}}
}

// measure makes the runs and writes their measurements. After an error it writes what was measured before it.
func measure(cmd *cobra.Command, o scale.Options, output, file string) error {
	m, err := scale.Run(cmd.Context(), o)
	if m == nil {
		return runError{err}
	}
	if err = errors.Join(err, writeMeasurements(cmd.OutOrStdout(), m, output, file)); err != nil {
		return runError{err}
	}
	return nil
}

// writeMeasurements writes the measurements in the format of --output, and as JSON to a file if one is named.
func writeMeasurements(out io.Writer, m *capacity.Measured, output, file string) error {
	text, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return err
	}
	text = append(text, '\n')
	if file != "" {
		if err := os.WriteFile(file, text, 0o644); err != nil {
			return err
		}
	}
	if output == outputJSON {
		_, err = out.Write(text)
		return err
	}
	return scale.WriteText(out, m)
}

// programDir returns the folder of the programs: the given one, or by default that of this program.
func programDir(given string) (string, error) {
	if given == "" {
		self, err := os.Executable()
		return filepath.Dir(self), err
	}
	return filepath.Abs(given)
}

// parseMemoryLimit parses a number of bytes with an optional suffix K, M or G. For "" it returns a quarter of the machine's memory.
func parseMemoryLimit(text string) (int64, error) {
	if text == "" {
		all, err := usage.MachineMemory()
		if err != nil {
			return 0, runError{err}
		}
		return all / 4, nil
	}
	digits, unit := text, int64(1)
	for i, suffix := range []string{"K", "M", "G"} {
		if rest, ok := strings.CutSuffix(text, suffix); ok {
			digits, unit = rest, 1<<(10*(i+1))
		}
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 1 || n > 1<<52/unit {
		return 0, fmt.Errorf("--memory: %q; write a number of bytes, or with K, M or G, such as 6G", text)
	}
	return n * unit, nil
}
