package dispatch_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"curlewsill.org/curlewsill/core/policy"
)

// TestSwitches runs testdata/switches/NAME.txt for each switch of the policy,
// with the switch on and off and all others on. The lines are those of
// TestScripts; a line that begins with "on:" or "off:" counts only in that
// case. Each script must have such lines, so that it shows the effect of the
// switch.
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
				s.run(linesWhen(t, string(data), on))
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

// linesWhen returns the lines of a script that count with the switch on or off.
// The others become empty, so that line numbers stay the same.
func linesWhen(t *testing.T, text string, on bool) string {
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
		t.Error("the script has no line that depends on the switch")
	}
	return strings.Join(lines, "\n")
}
