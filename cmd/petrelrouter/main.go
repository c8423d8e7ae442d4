// Command petrelrouter is a router of the fleet; its role is a subcommand.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"petrelhook/internal/node"
	"petrelhook/internal/settings"
)

// Exit codes.
const (
	exitBad   = 1 // what was checked, or the start, is bad
	exitUsage = 2
)

func main() {
	command := &cli.Command{
		Name:  "petrelrouter",
		Usage: "a router fleet for a language model",
		Commands: []*cli.Command{
			{Name: "router", Usage: "serve clients, servers and the operator, as the settings file says", Action: serve},
			{Name: "check", Usage: "judge a settings file", ArgsUsage: "FILE", Action: check},
			{Name: "version", Usage: "print the version", Action: version},
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "petrelrouter:", err)
		os.Exit(exitUsage)
	}
}

func version(context.Context, *cli.Command) error {
	build, _ := debug.ReadBuildInfo()
	fmt.Println("petrelrouter", build.Main.Version, build.GoVersion)
	return nil
}

func check(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return cli.Exit("check takes one file", exitUsage)
	}
	s, err := settings.Load(c.Args().First())
	if err != nil {
		return cli.Exit(err, exitBad)
	}
	fmt.Printf("%s: %s in zone %s, fit\n", c.Args().First(), s.NodeName, s.Zone)
	return nil
}

func serve(parent context.Context, _ *cli.Command) error {
	s, err := settings.Load(os.Getenv(settings.Variable))
	if err != nil {
		return cli.Exit(err, exitBad)
	}
	const share, megabyte = 0.7, 1 << 20
	if s.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(share * megabyte * float64(s.Limits.MemoryMb)))
	}
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stderr}}
	ctx, stop := signal.NotifyContext(parent, syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := node.New(s, logger).Run(ctx); err != nil {
		return cli.Exit(err, exitBad)
	}
	return nil
}
