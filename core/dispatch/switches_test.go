package dispatch_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"curlewsill.org/curlewsill/core/policy"
)

// TestSwitches plays testdata/switches/NAME.txt for each switch of the policy, with the switch on
// and off, all others on. Lines are those of TestScripts; one that begins with "on:" or "off:" is
// read only then. Each script must have such lines, so that
// it shows what the switch does.
func TestSwitches(t *testing.T) {
	for _, name := range policy.Names() {
		data, err := os.ReadFile(filepath.Join("testdata", "switches", name+".txt"))
		if err != nil {
			t.Error(err)
			continue
		}
		for _, on := range []bool{true, false} {
			t.Run(name+"/"+onOff(on), func(t *testing.T) {
				s := newScript(t)
				s.policy, _ = policy.New().With(name, on)
				s.takeOver()
				s.run(only(t, string(data), on))
			})
		}
	}
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// only returns the lines of a script that count with the switch on or off. The others become empty,
// so that the numbers of lines stay.
func only(t *testing.T, text string, on bool) string {
	lines := strings.Split(text, "\n")
	mine, others := 0, 0
	for i, l := range lines {
		if rest, ok := strings.CutPrefix(l, onOff(on)+":"); ok {
			lines[i] = rest
			mine++
		} else if strings.HasPrefix(l, onOff(!on)+":") {
			lines[i] = ""
			others++
		}
	}
	if mine+others == 0 {
		t.Error("the script tells of no difference")
	}
	return strings.Join(lines, "\n")
}
