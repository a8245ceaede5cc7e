// Package cmd is the command line of curlewsilld.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"curlewsill.org/curlewsill/internal/daemon"
	"curlewsill.org/curlewsill/internal/logging"
	"curlewsill.org/curlewsill/internal/settings"
)

// The exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitSettings = 2
)

// options are the flags. The flags after Check override the settings file.
type options struct {
	Config    string `long:"config" required:"yes" value-name:"FILE" description:"settings file (INI)"`
	Check     bool   `long:"check" description:"check the settings, print all errors and exit"`
	Callers   string `long:"callers" value-name:"ADDRESS" description:"address to listen on for callers"`
	Operators string `long:"operators" value-name:"ADDRESS" description:"address to listen on for operators"`
	Peers     string `long:"peers" value-name:"ADDRESS" description:"address to listen on for other entry hosts"`
	LogLevel  string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level to log"`
}

// Main runs the program and returns its exit code.
func Main(args []string) int {
	if len(args) > 0 && args[0] == siteCommand {
		return site(args[1:])
	}
	var o options
	if code, ok := parseFlags(&o, args); !ok {
		return code
	}
	s, err := settings.Load(o.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	o.override(&s)
	if o.Check {
		fmt.Println("settings are valid")
		return exitDone
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitDone
}

// parseFlags parses the flags into target. If the program must exit, for help or
// invalid flags, it returns the exit code and false.
func parseFlags(target any, args []string) (code int, ok bool) {
	_, err := flags.ParseArgs(target, args)
	if err == nil {
		return exitDone, true
	}
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		return exitDone, false
	}
	return exitSettings, false
}

// override replaces settings by the flags that are set.
func (o options) override(s *settings.Settings) {
	for _, f := range []struct {
		flag string
		to   *string
	}{{o.Callers, &s.Callers}, {o.Operators, &s.Operators}, {o.Peers, &s.Peers}, {o.LogLevel, &s.LogLevel}} {
		if f.flag != "" {
			*f.to = f.flag
		}
	}
}

// run serves until a planned stop is complete. The first SIGTERM or SIGINT begins the
// planned stop. A second signal stops the process at once.
func run(s settings.Settings) error {
	stream, err := logging.NewStream(os.Stdout, s.LogLevel, logging.Format(s.LogFormat))
	if err != nil {
		return err
	}
	defer stream.Flush()
	log := stream.Logger
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := daemon.New(ctx, s, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		log.Info("planned stop")
		d.Stop()
		<-signals
		log.Warn("stopping at once", zap.String("host", string(s.Host)))
		cancel()
	}()
	return d.Run(ctx)
}
