package proof_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var mutants = flag.Bool("mutants", false, "apply each mutation of testdata/mutations.txt to the code and run the proofs against it")

// mutantSeeds and mutantEvents bound the long runs that try to detect a mutation.
const (
	mutantSeeds  = 6
	mutantEvents = 400_000
)

// mutation is one fault to insert into the code: in the file, the text before is
// replaced by the text after.
type mutation struct {
	name, file, before, after string
}

// readMutations parses testdata/mutations.txt.
func readMutations(t *testing.T) []mutation {
	data, err := os.ReadFile("testdata/mutations.txt")
	if err != nil {
		t.Fatal(err)
	}
	var out []mutation
	for _, line := range strings.Split(string(data), "\n") {
		verb, rest, _ := strings.Cut(line, " ")
		switch verb {
		case "fault":
			out = append(out, mutation{name: rest})
		case "file":
			out[len(out)-1].file = rest
		case "-":
			out[len(out)-1].before += rest + "\n"
		case "+":
			out[len(out)-1].after += rest + "\n"
		}
	}
	return out
}

// apply returns the text of the mutated file. The test fails unless the text to
// replace occurs exactly once in the file.
func (m mutation) apply(t *testing.T) string {
	data, err := os.ReadFile(filepath.Join("..", m.file))
	if err != nil {
		t.Fatal(err)
	}
	before, after := strings.TrimSuffix(m.before, "\n"), strings.TrimSuffix(m.after, "\n")
	if n := strings.Count(string(data), before); n != 1 {
		t.Fatalf("the text to replace occurs %d times in %s, want once", n, m.file)
	}
	return strings.Replace(string(data), before, after, 1)
}

// TestMutations checks that each mutation still applies to the code. With
// -mutants it builds the code with each mutation and expects the scripts or a
// long run to detect it.
func TestMutations(t *testing.T) {
	for _, m := range readMutations(t) {
		t.Run(m.name, func(t *testing.T) {
			text := m.apply(t)
			if *mutants {
				t.Parallel()
				t.Log(runMutant(t, m, text))
			}
		})
	}
}

// runMutant builds the proofs with the mutation and runs them. It returns which
// of them detected it, and fails the test if none did.
func runMutant(t *testing.T, m mutation, text string) string {
	dir := t.TempDir()
	path, err := filepath.Abs(filepath.Join("..", m.file))
	if err != nil {
		t.Fatal(err)
	}
	mutated, overlay, bin := filepath.Join(dir, "mutated.go"), filepath.Join(dir, "overlay.json"), filepath.Join(dir, "proof.test")
	files, err := json.Marshal(map[string]map[string]string{"Replace": {path: mutated}})
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{mutated: []byte(text), overlay: files} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if out, err := exec.Command("go", "test", "-c", "-vet=off", "-overlay", overlay, "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	if out, err := exec.Command("go", "test", "-vet=off", "-overlay", overlay, "../state").CombinedOutput(); err != nil {
		return "caught by the scripts of core/state: " + strings.Join(failedScripts(out), ", ")
	}
	if out, err := exec.Command(bin, "-test.run", "Scripts").CombinedOutput(); err != nil {
		return "caught by scripts: " + strings.Join(failedScripts(out), ", ")
	}
	for seed := 1; seed <= mutantSeeds; seed++ {
		out, err := exec.Command(bin, "-test.run", "Long", "-test.v", "-events", fmt.Sprint(mutantEvents), "-seed", fmt.Sprint(seed)).CombinedOutput()
		if err != nil {
			return fmt.Sprintf("caught by the long run: seed %d, %s", seed, firstViolation(out))
		}
	}
	t.Errorf("caught neither by the scripts nor by %d long runs of %d events", mutantSeeds, mutantEvents)
	return "not caught"
}

var (
	failedScript  = regexp.MustCompile(`--- FAIL: TestScripts/([a-z.-]+)`)
	violationText = regexp.MustCompile(`event \d+:\n.*`)
)

// failedScripts returns the names of the scripts that failed in a test's output.
func failedScripts(out []byte) []string {
	var names []string
	for _, f := range failedScript.FindAllSubmatch(out, -1) {
		names = append(names, string(f[1]))
	}
	return names
}

// firstViolation returns the first violation in the output of a long run, on
// one line.
func firstViolation(out []byte) string {
	return string(bytes.Join(bytes.Fields(violationText.Find(out)), []byte(" ")))
}
