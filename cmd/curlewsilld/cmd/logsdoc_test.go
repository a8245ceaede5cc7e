package cmd

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// loggedBy are the folders, relative to the root of the repository, whose
// packages write the log of an entry host on the users' platform.
var loggedBy = []string{
	"cmd/curlewsilld/cmd", "core/dispatch", "internal/conntrack", "internal/entry", "internal/intake",
	"internal/logging", "internal/relay", "internal/wslink", "platform",
}

// logCall and noteEvent match the name of an event in a call of a logger, and in
// the declaration of a note's event.
var (
	logCall   = regexp.MustCompile(`\.(?:Debug|Info|Warn|Error)\("([a-z][a-z-]*)"`)
	noteEvent = regexp.MustCompile(`\bEvent\w+ +Event = "([a-z][a-z-]*)"`)
)

// otherCommands are files of this package that log for commands other than the
// entry host on the users' platform.
var otherCommands = []string{"root.go"}

// TestLogsDocumented checks that docs/LOGS.md lists each event that the code
// writes. Without the check, 19 events were missing.
func TestLogsDocumented(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "LOGS.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, folder := range loggedBy {
		err := filepath.WalkDir(filepath.Join(root, filepath.FromSlash(folder)), func(path string, e fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if e.IsDir() && (e.Name() == "standin" || e.Name() == "testdata") {
				return fs.SkipDir
			}
			if e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || slices.Contains(otherCommands, e.Name()) {
				return nil
			}
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, m := range append(logCall.FindAllSubmatch(source, -1), noteEvent.FindAllSubmatch(source, -1)...) {
				if !strings.Contains(string(page), "`"+string(m[1])+"`") {
					t.Errorf("%s writes the event %s, which docs/LOGS.md doesn't list", path, m[1])
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
