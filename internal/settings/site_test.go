package settings_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/internal/settings"
)

// TestEvacuationBound checks the evacuation bounds in testdata/evacuation.txt. Each
// line has the value of the setting, or "none" if it is absent, and the bound that
// follows: how long a task may still start in an evacuated failure domain. "refused"
// means that the setting is rejected.
//
// The test guards against a default of 5 s. With it, an owner that couldn't read the
// operator's records for 4 s started no tasks for 4 to 7 s ("starts-withheld"), even
// on a site without evacuations.
func TestEvacuationBound(t *testing.T) {
	scripttest.EachLine(t, "evacuation.txt", func(f []string) {
		t.Run(f[0], func(t *testing.T) {
			text := "[host]\nid = h\ndomain = d\n[store]\naddress = 127.0.0.1:1\n[workers]\n"
			if f[0] != "none" {
				text += "evacuation = " + f[0] + "\n"
			}
			name := filepath.Join(t.TempDir(), "site.ini")
			if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := settings.LoadSite(name)
			switch want, _ := time.ParseDuration(f[1]); {
			case f[1] == "refused" && err == nil:
				t.Errorf("got %s, want an error", s.Workers.EvacuationLimit)
			case f[1] != "refused" && (err != nil || s.Workers.EvacuationLimit != want):
				t.Errorf("got %s, %v; want %s", s.Workers.EvacuationLimit, err, want)
			}
		})
	})
}
