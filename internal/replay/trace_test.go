package replay_test

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"curlewsill.org/curlewsill/examples"
	"curlewsill.org/curlewsill/internal/replay"
)

// TestTraces checks that the same seed generates the same trace and that Read
// returns the events that Write wrote.
func TestTraces(t *testing.T) {
	for _, site := range examples.Sites() {
		a, err := replay.Generate(site, 3, 6*time.Hour, nil)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := replay.Generate(site, 3, 6*time.Hour, nil)
		var out bytes.Buffer
		if err := replay.Write(&out, a); err != nil {
			t.Fatal(err)
		}
		back, err := replay.Read(&out)
		if err != nil || !reflect.DeepEqual(a, back) || !reflect.DeepEqual(a, b) {
			t.Errorf("%s: %d events, %d read back, %v", site, len(a), len(back), err)
		}
	}
}

// FuzzRead checks that Read doesn't panic on any input.
func FuzzRead(f *testing.F) {
	f.Add([]byte("at_s,event,job,customer,accelerators,run_s,declared_s,flags\n0,submit,j,c,8,60,60,once+urgent\n"))
	f.Fuzz(func(_ *testing.T, in []byte) { _, _ = replay.Read(bytes.NewReader(in)) })
}
