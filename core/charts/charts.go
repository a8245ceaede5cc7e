// Package charts embeds the state charts of the system, one file for each thing
// that has a life: job, lease, task, backend server, entry host and plan.
package charts

import "embed"

// Files holds the charts as NAME.chart.
//
//go:embed *.chart
var Files embed.FS

// Read returns the text of the chart with the given name. It panics if there is
// no such chart, because names are constants of the program.
func Read(name string) string {
	b, err := Files.ReadFile(name + ".chart")
	if err != nil {
		panic(err)
	}
	return string(b)
}
