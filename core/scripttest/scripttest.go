// Package scripttest runs a test's scripts, the text files in its folder testdata, each as a
// subtest. What a script's lines mean is up to the test. Only tests import it.
package scripttest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each runs a subtest for each script of testdata, in the order of their names, with the
// script's text. It fails if there is none.
func Each(t *testing.T, run func(t *testing.T, text string)) {
	t.Helper()
	EachIn(t, "", run)
}

// EachIn is Each for the scripts of a folder of testdata.
func EachIn(t *testing.T, folder string, run func(t *testing.T, text string)) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", folder, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			data, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			run(t, string(data))
		})
	}
}

// EachLine calls check with the words of each line of a file below testdata, in their order. Empty lines, and those that begin with #, are passed over.
func EachLine(t *testing.T, file string, check func(words []string)) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if words := strings.Fields(line); len(words) > 0 && !strings.HasPrefix(words[0], "#") {
			check(words)
		}
	}
}
