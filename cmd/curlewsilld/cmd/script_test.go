package cmd_test

import (
	"flag"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"curlewsill.org/curlewsill/cmd/curlewsilld/cmd"
	"curlewsill.org/curlewsill/examples"
)

var update = flag.Bool("update", false, "write the output that scripts compare with")

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		os.Exit(cmd.Main(os.Args[1:]))
	}
	testscript.Main(m, map[string]func(){
		"curlewsilld": func() { os.Exit(cmd.Main(os.Args[1:])) },
	})
}

// TestScripts runs each script. The shipped settings of each site are in the script's
// directory as SITE.ini.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: *update,
		Setup: func(e *testscript.Env) error {
			for _, site := range examples.Sites() {
				data, err := examples.Read(site, "host.ini")
				if err != nil {
					return err
				}
				if err := os.WriteFile(e.Cd+"/"+site+".ini", data, 0o600); err != nil {
					return err
				}
			}
			return nil
		},
	})
}
