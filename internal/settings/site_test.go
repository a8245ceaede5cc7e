package settings_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/internal/settings"
)

// TestEvacuationBound reads the bound of testdata/evacuation.txt, a line each: what the settings say, or "none", and how long a task may still start in
// an evacuated failure domain by that.
//
// Where no bound was set 5 s counted. On a site where nobody evacuates, an owner that couldn't read the operator's records for 4 s started
// nothing at all, for 4 to 7 s at a time ("starts-withheld").
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
				t.Errorf("got %s, want an error", s.Workers.Evacuation)
			case f[1] != "refused" && (err != nil || s.Workers.Evacuation != want):
				t.Errorf("got %s, %v; want %s", s.Workers.Evacuation, err, want)
			}
		})
	})
}
