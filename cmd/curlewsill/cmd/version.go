package cmd

import (
	"fmt"
	"io"

	"curlewsill.org/curlewsill/core/record"
)

// release is the version of the product.
const release = "0.1.0"

// versionCmd is the subcommand version.
type versionCmd struct{ env *env }

type version struct {
	Release string `json:"release"`
	// Records is the version of the format of the log's records.
	Records int `json:"records"`
}

// Execute implements flags.Commander.
func (c *versionCmd) Execute([]string) error {
	v := version{release, record.Version}
	return c.env.print(v, func(w io.Writer) {
		fmt.Fprintf(w, "curlewsill %s, records version %d\n", v.Release, v.Records)
	})
}
