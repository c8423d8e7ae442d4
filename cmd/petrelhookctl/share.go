package main

import (
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/share"
)

func shareCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "share", Short: "Set and list limits of the whole fleet, which are divided into allocations that expire by themselves"}
	cmd.AddCommand(shareSetCommand(), shareListCommand())
	return cmd
}

func shareSetCommand() *cobra.Command {
	a := &coordinatorFlags{}
	var l share.Limit
	cmd := &cobra.Command{
		Use: "set NAME --units N --period D --members N [--floor N]", Args: cobra.ExactArgs(1), Short: "Create a limit, or change its units",
		Long: "Only the units of a limit can change; for another period, floor or members use another name. To end it, set its units to its floor.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if l.Name = args[0]; l.Check() != nil {
				return l.Check()
			}
			response, err := a.call(cmd, fleet.Request{Limit: &share.Command{Set: l}})
			if err == nil && response.LimitError != "" {
				err = runError{errors.New(response.LimitError)}
			}
			return err
		},
	}
	a.add(cmd)
	cmd.Flags().IntVar(&l.Units, "units", -1, "uses per period of all members together")
	cmd.Flags().DurationVar(&l.Period, "period", time.Second, "duration of an allocation")
	cmd.Flags().IntVar(&l.Floor, "floor", 0, "the part of the units that all members together may use without contact to a coordinator")
	cmd.Flags().IntVar(&l.Members, "members", 0, "the largest number of members")
	return cmd
}

func shareListCommand() *cobra.Command {
	a := &coordinatorFlags{}
	cmd := &cobra.Command{
		Use: "list", Args: cobra.NoArgs, Short: "List all limits with what is allocated, and the allocation, demand and fair share of each member",
		RunE: func(cmd *cobra.Command, _ []string) error {
			response, err := a.call(cmd, fleet.Request{ListLimits: true})
			if err != nil {
				return err
			}
			return a.print(cmd, response.LimitStatuses, func(w *tabwriter.Writer) { writeLimits(w, response.LimitStatuses) })
		},
	}
	a.add(cmd)
	return cmd
}

// writeLimits writes a row for each limit, and one for each of its members.
func writeLimits(w *tabwriter.Writer, all []share.LimitStatus) {
	for _, s := range all {
		l, note := s.Limit, ""
		if s.Starting {
			note = "nothing is allocated yet: the leader is new"
		}
		fmt.Fprintf(w, "%s\t%d of %d allocated per period of %v\tfloor %d for %d members\t%s\n", l.Name, s.Outstanding, l.Units, l.Period, l.Floor, l.Members, note)
		isolated := isolatedAllowance(l)
		for _, m := range s.Members {
			fmt.Fprintf(w, "\t%s\tallocated %d, demand %d, fair share %.2f per period\tweight %g, without contact %.2f\n", m.Name, m.Outstanding, m.Demand, m.FairShare, m.Weight, isolated)
		}
	}
}

// isolatedAllowance returns the number of uses per period that a member of a limit has without contact to a coordinator.
func isolatedAllowance(l share.Limit) float64 {
	if l.Members == 0 {
		return 0
	}
	return float64(l.Floor) / float64(l.Members)
}
