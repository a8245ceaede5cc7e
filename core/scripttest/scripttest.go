// Package scripttest runs the script files of a test, which are the .txt files in
// the testdata folder of its package, each as a subtest. The test interprets the
// lines of a script. Only tests import this package.
package scripttest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each runs a subtest for each script in testdata, in the order of the file
// names, and passes the text of the script to run. The test fails if there is
// no script.
func Each(t *testing.T, run func(t *testing.T, text string)) {
	t.Helper()
	EachIn(t, "", run)
}

// EachIn is like Each for the scripts in a subfolder of testdata.
func EachIn(t *testing.T, folder string, run func(t *testing.T, text string)) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", folder, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts found", err)
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

// EachLine calls check with the whitespace-separated words of each line of a file
// under testdata, in the order of the lines. It skips empty lines and lines that
// begin with #.
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
