package replay_test

import (
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/place"
	"curlewsill.org/curlewsill/examples"
	"curlewsill.org/curlewsill/internal/intent"
	"curlewsill.org/curlewsill/internal/replay"
)

// BenchmarkDay replays a generated trace of one day on each example site.
func BenchmarkDay(b *testing.B) {
	for _, site := range examples.Sites() {
		b.Run(site, func(b *testing.B) {
			data, err := examples.Read(site, "site.ini")
			if err != nil {
				b.Fatal(err)
			}
			changes, err := intent.Parse(site, data)
			if err != nil {
				b.Fatal(err)
			}
			trace, err := replay.Generate(site, 1, 24*time.Hour, nil)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := replay.Run(changes, trace, place.Packing()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
