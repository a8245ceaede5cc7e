package entry

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/scripttest"
)

// oddEntries calls do for each entry of testdata/odd/entries.txt with its key, whether
// it is a worker's, and its value.
func oddEntries(t *testing.T, do func(key string, worker bool, value []byte)) {
	t.Helper()
	scripttest.EachLine(t, "odd/entries.txt", func(f []string) {
		value, err := oddEntry(f[2:])
		if err != nil {
			t.Fatalf("%v: %v", f, err)
		}
		do(f[0], f[1] == "true", value)
	})
}

// soundEntry returns the fields of a worker's entry.
func soundEntry() map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	text := `{"Backend":"odd","Address":"127.0.0.1:1","Zone":"z","Version":"v1","Slots":8,"State":"ready","ColdRemainingMs":0,
		"Capacity":{"Cpu":8000,"MemMb":8000,"Gpus":8},"Labels":["a","r1"],"ClockMs":1,"Seq":1}`
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		panic(err) // unreachable: the text is valid
	}
	return fields
}

// oddEntry returns the value of an entry that is described as in the file.
func oddEntry(f []string) ([]byte, error) {
	nested := func(n int) json.RawMessage { return json.RawMessage(strings.Repeat("[", n) + strings.Repeat("]", n)) }
	fields := soundEntry()
	n, _ := strconv.Atoi(f[len(f)-1])
	odd, value := f[1], json.RawMessage(nil)
	switch f[0] {
	case "nested":
		odd, value = "Odd", nested(n)
	case "known":
		odd, value = "Labels", nested(n)
	case "unclosed":
		return []byte(strings.Repeat("[", n)), nil
	case "field":
		value = json.RawMessage(strings.ReplaceAll(f[2], "20000xA", strings.Repeat("A", 20000)))
	case "long":
		value = json.RawMessage(strconv.Quote(strings.Repeat("A", n)))
	default:
		return nil, fmt.Errorf("unknown kind %s", f[0])
	}
	delete(fields, odd)
	b, err := json.Marshal(fields)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(b[:len(b)-1], ",%q:%s}", odd, value), nil
}

// logSize returns the bytes of all lines that were logged.
func logSize(t *testing.T, lines []observer.LoggedEntry) int {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	size := 0
	for _, l := range lines {
		b, err := encoder.EncodeEntry(l.Entry, l.Context)
		if err != nil {
			t.Fatal(err)
		}
		size += b.Len()
		b.Free()
	}
	return size
}

// The bounds of what an owner logs of the list of workers: the bytes of a line, and the
// lines about entries that change all the time, in 60 s.
const (
	maxListingLine  = 1024
	maxListingLines = 100
)

// TestOddEntries guards against owners that end, take an odd entry of the list of
// workers for a worker, lose sight of the sound ones, or log without a bound.
func TestOddEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwnerOf(t, &hangingWorkers{inFlight: map[string]int{}})
		core, lines := observer.New(zap.InfoLevel)
		o.host.log = zap.New(core)
		o.core = dispatch.New(dispatch.Config{}, policy.New(), 1, jobtable.New())
		sound, err := json.Marshal(soundEntry())
		if err != nil {
			t.Fatal(err)
		}
		all := []jobtable.Record{{Key: "sound", Value: sound}}
		oddEntries(t, func(key string, worker bool, value []byte) {
			all = append(all, jobtable.Record{Key: key, Value: value})
			before := len(lines.TakeAll())
			time.Sleep(5 * time.Second) // so that the line isn't one of many
			o.updateListings(o.host.now(), all, o.core.List)
			o.replaceListings(o.host.now(), all)
			o.core.Pass(o.host.now(), o.host.now())
			o.logDecisions()
			_, listed := o.listed[id.WorkerName(key)]
			if _, kept := o.listed["sound"]; listed != worker || !kept {
				t.Errorf("%s: taken for a worker: %t; the sound worker is known: %t", key, listed, kept)
			}
			if size := logSize(t, lines.All()); size > 2*maxListingLine || !worker && lines.FilterMessage("listing-rejected").Len() != 1 {
				t.Errorf("%s: %d bytes in %d lines after %d", key, size, lines.Len(), before)
			}
		})
	})
}

// TestOddEntryChanges guards against log lines without a bound about entries that
// another program rewrites all the time, each time with another text.
func TestOddEntryChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwnerOf(t, &hangingWorkers{inFlight: map[string]int{}})
		core, lines := observer.New(zap.InfoLevel)
		o.host.log = zap.New(core)
		o.core = dispatch.New(dispatch.Config{}, policy.New(), 1, jobtable.New())
		for i := range 6000 {
			time.Sleep(10 * time.Millisecond)
			value := fmt.Appendf(nil, `{"Backend":%q}`, strings.Repeat("A", 1000)+strconv.Itoa(i))
			o.updateListings(o.host.now(), []jobtable.Record{{Key: "w", Value: value}, {Key: fmt.Sprint("w-", i%7), Value: value}}, o.core.List)
		}
		if size := logSize(t, lines.All()); lines.Len() > maxListingLines || size > maxListingLines*maxListingLine {
			t.Errorf("%d bytes in %d lines within a minute", size, lines.Len())
		}
		unlogged := int64(o.unlogged)
		for _, l := range lines.All() {
			n, _ := l.ContextMap()["unlogged"].(int64)
			unlogged += n
		}
		if got := lines.FilterMessage("listing-rejected").Len() + int(unlogged); got != 12_000 {
			t.Errorf("%d of 12,000 changes are logged or counted", got)
		}
	})
}
