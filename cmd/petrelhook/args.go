package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"runtime/debug"
	"strings"
)

const usage = `usage: petrelhook [--config FILE] [--log-format text|json] [--log-level LEVEL]
       petrelhook --check [--config FILE]
       petrelhook --version | --help

The sidecar of one copy of an application: it takes the application's requests over HTTP and has them served by the
servers that discovery lists. It stays in the foreground; SIGTERM drains and ends it, SIGHUP reads the file again.

  --config FILE        the configuration; without it LB_CONFIG names the file
  --check              read and judge the configuration, start nothing
  --log-format FORMAT  text (default) or json, a line each on standard error
  --log-level LEVEL    debug, info (default), warn or error
  --version            what this program was built from
  --help               this page

Exit codes: 0 ended well, or the configuration is good; 1 the configuration is bad, or serving failed; 2 wrong usage.
`

// options is what the command line asks for.
type options struct {
	configPath, logFormat string
	logLevel              slog.Level
	check                 bool
}

// errDone: what was asked for has been printed.
var errDone = errors.New("done")

// parseArgs reads the command line. Help and version are written to out, and the error is errDone then.
func parseArgs(args []string, env func(string) string, out io.Writer) (options, error) {
	var c options
	var version bool
	flags := flag.NewFlagSet("petrelhook", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&c.configPath, "config", env("LB_CONFIG"), "")
	flags.BoolVar(&c.check, "check", false, "")
	flags.BoolVar(&version, "version", false, "")
	flags.StringVar(&c.logFormat, "log-format", "text", "")
	flags.TextVar(&c.logLevel, "log-level", slog.LevelInfo, "")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(out, usage)
		return c, errDone
	case err != nil:
		return c, fmt.Errorf("%w (petrelhook --help lists what there is)", err)
	case version:
		fmt.Fprintln(out, "petrelhook", buildInfo())
		return c, errDone
	case flags.NArg() > 0:
		return c, fmt.Errorf("%q is no flag, and there are no other arguments (petrelhook --help lists what there is)", flags.Arg(0))
	case c.logFormat != "text" && c.logFormat != "json":
		return c, fmt.Errorf("--log-format %q: text and json are the formats", c.logFormat)
	case c.configPath == "":
		return c, errors.New("no configuration: give --config FILE, or name the file in LB_CONFIG")
	}
	return c, nil
}

// logger writes what is of the level asked for, in the format asked for.
func (c options) logger(to io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{Level: c.logLevel}
	if c.logFormat == "json" {
		return slog.New(slog.NewJSONHandler(to, options))
	}
	return slog.New(slog.NewTextHandler(to, options))
}

// buildInfo says what the program was built from, by the tool chain's own record.
func buildInfo() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "of unknown origin"
	}
	said := []string{info.Main.Version, info.GoVersion}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision", "vcs.time":
			said = append(said, s.Value)
		case "vcs.modified":
			if s.Value == "true" {
				said = append(said, "modified")
			}
		}
	}
	return strings.Join(said, " ")
}
