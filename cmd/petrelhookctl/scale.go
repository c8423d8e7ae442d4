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
		Short: "Measure what a fleet of some sizes costs each role, with real coordinators and hollow members",
		Long: "Starts petrelhook-coordinator processes and, beside them, hollow members that make and answer the calls of real ones,\n" +
			"many to a process, and measures each role's processes from outside. Everything is on loopback, and has ended\n" +
			"when it returns.\n\n" +
			"Workloads:\n" +
			"  renewals  sessions of the lease client (TTL 10s, its default), each with one lease\n" +
			"  looks     a driver's looks at the agents of one change, and then a change of all of them at once\n" +
			"  watches   agents that wait for versions of their service's configuration, at rest, for 8.75s at least\n" +
			"  publish   the same with versions of 4 KiB on their way, for 8s or longer each: ordinary, as in the busiest\n" +
			"            minute (busy_), for all services at once (all_); at 250 members and at --check also while a\n" +
			"            coordinator that follows, and then the one that leads, is killed (killed_, leader_killed_)\n\n" +
			"With --real, machines with a real agent and sidecar stand beside the hollow members of watches and publish;\n" +
			"their sidecars serve calls, judged by the four rules. Versions come into force there as they run, and one by a\n" +
			"hand-over (hand_over_); what calls take is measured without versions (quiet_) and with them (versions_).\n\n" +
			"Figures are rates over a window of --steady; the table has the median of the runs, --json all of them. It\n" +
			"ends with 1 where a run has failed or was not made; what the product refuses at a size is found, and is no\n" +
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
	cmd.Flags().StringVar(&memory, "memory", "", "memory of all processes together, such as 6G (default: a quarter of the machine's)")
	cmd.Flags().StringVar(&output, "output", outputText, "form of what is measured: text or json")
	cmd.Flags().StringVar(&file, "json", "", "also write what is measured to `FILE`")
	cmd.AddCommand(scaleMembersCommand(), scaleMinderCommand())
	return cmd
}

func addScaleFlags(f *pflag.FlagSet, o *scale.Options) {
	f.StringVar(&o.ProgramDir, "bin", "", "`FOLDER` of the programs (default: that of this program)")
	f.StringSliceVar(&o.Workloads, "workloads", scale.Workloads, "what members do")
	f.IntSliceVar(&o.Sizes, "sizes", []int{250, 500, 1000, 2000, 4000}, "members; a fit is made of these")
	f.IntVar(&o.CheckSize, "check", 12_000, "a larger size, with which a fit is checked; 0: none")
	f.IntVar(&o.Runs, "runs", 3, "of each workload at each size")
	f.IntVar(&o.RealMachines, "real", 0, "machines with a real agent and sidecar beside hollow members")
	f.DurationVar(&o.Window, "steady", 4*time.Second, "for how long a fleet is measured once all have joined")
	f.Uint64Var(&o.Seed, "seed", 1, "the same draws the same members")
	f.DurationVar(&o.Timeout, "within", 40*time.Minute, "for how long it may run; the default sizes and runs take about 30m")
}

// scaleMembersCommand runs a process of hollow members, which scale starts.
func scaleMembersCommand() *cobra.Command {
	return &cobra.Command{Use: "members", Hidden: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := scale.ServeMembers(cmd.Context(), cmd.InOrStdin(), cmd.OutOrStdout()); err != nil {
				return runError{err}
			}
			return nil
		}}
}

// scaleMinderCommand runs the process that ends what scale has started if scale itself is killed.
func scaleMinderCommand() *cobra.Command {
	return &cobra.Command{Use: "minder FOLDER", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := scale.MindSidecars(cmd.Context(), args[0], cmd.InOrStdin()); err != nil {
				return runError{err}
			}
			return nil
		}}
}

// measure does the runs and writes the result, also what was measured before an error.
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

// writeMeasurements writes what was measured in the form of --output, and as JSON to a file if one is named.
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

// programDir is the folder of the programs: the given one, or that of this program.
func programDir(given string) (string, error) {
	if given == "" {
		self, err := os.Executable()
		return filepath.Dir(self), err
	}
	return filepath.Abs(given)
}

// parseMemoryLimit parses a number of bytes; "": a quarter of the machine's memory.
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
