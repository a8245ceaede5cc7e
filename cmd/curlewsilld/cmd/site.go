package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/internal/boottime"
	"curlewsill.org/curlewsill/internal/entry"
	"curlewsill.org/curlewsill/internal/logging"
	"curlewsill.org/curlewsill/internal/settings"
)

// siteCommand is the first argument for running an entry host on the users' platform.
const siteCommand = "site"

// siteOptions are the flags of the site command.
type siteOptions struct {
	Config string `long:"config" env:"CURLEWSILL_BOOT" required:"yes" value-name:"FILE" description:"settings file (INI)"`
	Check  bool   `long:"check" description:"check the settings, print all errors and exit"`
}

// site runs an entry host on the users' platform and returns the exit code.
func site(args []string) int {
	var o siteOptions
	if code, ok := parseFlags(&o, args); !ok {
		return code
	}
	s, err := settings.LoadSite(o.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.Check {
		fmt.Println("settings are valid")
		return exitDone
	}
	if err := runSite(o.Config, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitDone
}

// runSite serves until a planned stop is complete. SIGTERM and SIGINT begin a planned
// stop, SIGHUP reloads the settings.
func runSite(file string, s settings.Site) error {
	log, err := logging.NewStream(os.Stdout, s.LogLevel, logging.JSON)
	if err != nil {
		return err
	}
	defer log.Flush()
	clock, err := boottime.New()
	if err != nil {
		return err
	}
	h, err := entry.New(s, clock, log.Logger)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				h.Stop()
				continue
			}
			reloaded, err := settings.LoadSite(file)
			if err != nil {
				log.Error("settings-rejected", zap.Error(err))
				continue
			}
			h.Reload(reloaded)
		}
	}()
	return h.Run(context.Background())
}
