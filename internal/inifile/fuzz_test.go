package inifile_test

import (
	"testing"

	"curlewsill.org/curlewsill/examples"
	"curlewsill.org/curlewsill/internal/intent"
	"curlewsill.org/curlewsill/internal/settings"
)

// FuzzFiles checks that no input makes the readers of settings and intents panic.
func FuzzFiles(f *testing.F) {
	for _, site := range examples.Sites() {
		for _, file := range []string{"host.ini", "site.ini"} {
			data, err := examples.Read(site, file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = settings.Parse("f", data)
		_, _ = intent.Parse("f", data)
	})
}
