package demo_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/internal/client"
	"curlewsill.org/curlewsill/internal/demo"
)

// BenchmarkUrgent measures the time from the submission of an urgent job until
// its gates open, on free accelerators and on a site that is full.
func BenchmarkUrgent(b *testing.B) {
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprintf("full=%v", full), func(b *testing.B) {
			d, err := demo.Start(b.Context(), "delta-north", io.Discard)
			if err != nil {
				b.Fatal(err)
			}
			defer d.Close()
			c := client.New(d.Operators(), "demo")
			submit := func(j record.Job) {
				if _, err := c.Submit(b.Context(), j); err != nil {
					b.Fatal(err)
				}
			}
			if full {
				for i := range 50 {
					submit(record.Job{
						ID: id.Job(fmt.Sprintf("filler-%d", i)), Customer: "excursion", Accelerators: 8,
						Declared: time.Hour, Command: "run 1h",
					})
				}
				time.Sleep(3 * time.Second)
			}
			n := 0
			for b.Loop() {
				n++
				name := id.Job(fmt.Sprintf("urgent-%d", n))
				submit(record.Job{
					ID: name, Customer: "shelf-life", Accelerators: 8, Urgent: true, Declared: time.Minute, Command: "run 1h",
				})
				for d.Started(name) == 0 {
					time.Sleep(time.Millisecond)
				}
				b.StopTimer()
				if _, err := c.Cancel(b.Context(), name); err != nil {
					b.Fatal(err)
				}
				time.Sleep(500 * time.Millisecond)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkChange measures the time from the confirmation of a plan until it is
// in force on all hosts, with one plan at a time.
func BenchmarkChange(b *testing.B) {
	d, err := demo.Start(b.Context(), "delta-north", io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	c := client.New(d.Operators(), "demo")
	weight := 1
	for b.Loop() {
		weight = weight%9 + 1
		p, err := c.Plan(b.Context(), []config.Change{{SetCustomer: &config.Customer{ID: "excursion", Weight: weight}}})
		if err != nil {
			b.Fatal(err)
		}
		off, err := c.Confirm(b.Context(), p)
		if err != nil {
			b.Fatal(err)
		}
		d.AwaitInForce(b.Context(), off)
	}
}
