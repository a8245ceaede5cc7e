package setup_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/internal/experiment/setup"
)

// TestFiles reads the experiments in testdata. The file "want" of each has one
// line for each error that must be reported, in the same order; it is empty for
// a valid experiment. SWITCHES stands for the names of all switches of a
// policy.
func TestFiles(t *testing.T) {
	names, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(names) == 0 {
		t.Fatal("no experiments in testdata", err)
	}
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			a, err := txtar.ParseFile(name)
			if err != nil {
				t.Fatal(err)
			}
			files := map[string]string{}
			for _, f := range a.Files {
				files[f.Name] = string(f.Data)
			}
			_, err = setup.Parse("site.ini", []byte(files["site.ini"]), "experiment.ini", []byte(files["experiment.ini"]))
			got := ""
			if err != nil {
				got = strings.ReplaceAll(err.Error(), fmt.Sprint(policy.Names()), "SWITCHES")
			}
			if strings.TrimSpace(got) != strings.TrimSpace(files["want"]) {
				t.Errorf("got\n%s\nwant\n%s", got, files["want"])
			}
		})
	}
}

// TestExample reads a shipped experiment with a shipped site.
func TestExample(t *testing.T) {
	s, err := setup.Load("../../../examples/delta-north/site.ini", "../../../examples/experiments/mixed.ini")
	if err != nil {
		t.Fatal(err)
	}
	if len(s.World.Workers) != 50 || len(s.Kinds) != 3 || len(s.Policies) != 3 || len(s.World.Guarantees) == 0 {
		t.Errorf("%d workers, %d kinds, %d policies, %d guarantees; want 50, 3, 3 and at least 1",
			len(s.World.Workers), len(s.Kinds), len(s.Policies), len(s.World.Guarantees))
	}
}
