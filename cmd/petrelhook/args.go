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

// errDone is the error of parseArgs after it has printed the help or the version.
var errDone = errors.New("done")

// parseArgs parses the command line. If it asks for the help or the version, parseArgs prints that to out and returns errDone. Any other
// error means wrong usage.
func parseArgs(args []string, env func(string) string, out io.Writer) (options, error) {
	var parsed options
	var version bool
	flags := flag.NewFlagSet("petrelhook", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&parsed.configPath, "config", env("LB_CONFIG"), "")
	flags.BoolVar(&parsed.check, "check", false, "")
	flags.BoolVar(&version, "version", false, "")
	flags.StringVar(&parsed.logFormat, "log-format", "text", "")
	flags.TextVar(&parsed.logLevel, "log-level", slog.LevelInfo, "")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(out, usage)
		return parsed, errDone
	case err != nil:
		return parsed, fmt.Errorf("%w (petrelhook --help lists the flags)", err)
	case version:
		fmt.Fprintln(out, "petrelhook", buildInfo())
		return parsed, errDone
	case flags.NArg() > 0:
		return parsed, fmt.Errorf("unexpected argument %q: only flags are allowed (petrelhook --help lists them)", flags.Arg(0))
	case parsed.logFormat != "text" && parsed.logFormat != "json":
		return parsed, fmt.Errorf("--log-format %q: must be text or json", parsed.logFormat)
	case parsed.configPath == "":
		return parsed, errors.New("no configuration: give --config FILE, or name the file in LB_CONFIG")
	}
	return parsed, nil
}

// logger returns a logger that writes to w, at the level and in the format of the options.
func (o options) logger(w io.Writer) *slog.Logger {
	handlerOptions := &slog.HandlerOptions{Level: o.logLevel}
	if o.logFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, handlerOptions))
	}
	return slog.New(slog.NewTextHandler(w, handlerOptions))
}

// buildInfo returns what the program was built from, as recorded by the toolchain.
func buildInfo() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "of unknown origin"
	}
	parts := []string{info.Main.Version, info.GoVersion}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision", "vcs.time":
			parts = append(parts, setting.Value)
		case "vcs.modified":
			if setting.Value == "true" {
				parts = append(parts, "modified")
			}
		}
	}
	return strings.Join(parts, " ")
}
