// Package charts embeds the state charts of the system. Each file defines the
// states of one kind of object, such as a job, a lease or a backend server.
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
