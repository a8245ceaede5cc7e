package cmd_test

import (
	"flag"
	"io"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"curlewsill.org/curlewsill/cmd/curlewsill/cmd"
	"curlewsill.org/curlewsill/internal/demo"
)

var update = flag.Bool("update", false, "write the output that scripts compare with")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"curlewsill": func() { os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs each script against a separate system in this process: scripts run
// concurrently, and on a shared system their changes would conflict.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: *update,
		Setup: func(e *testscript.Env) error {
			d, err := demo.Start(t.Context(), "delta-north", io.Discard)
			if err != nil {
				return err
			}
			e.Defer(d.Close)
			e.Setenv("CURLEWSILL_URL", d.Operators())
			e.Setenv("CURLEWSILL_TOKEN_FILE", d.TokenFile())
			e.Setenv("CALLERS", d.Callers())
			return nil
		},
	})
}
