// Package examples holds the shipped settings and sites, for the demo and the tests.
package examples

import (
	"embed"
	"errors"
	"fmt"
)

//go:embed */*.ini
var files embed.FS

// ErrNone reports a site that isn't shipped.
var ErrNone = errors.New("examples: no such site")

// Sites lists the shipped sites.
func Sites() []string { return []string{"delta-north", "be-oost"} }

// Read returns a file of a site: host.ini or site.ini.
func Read(site, file string) ([]byte, error) {
	b, err := files.ReadFile(site + "/" + file)
	if err != nil {
		return nil, fmt.Errorf("%w: %s/%s", ErrNone, site, file)
	}
	return b, nil
}
