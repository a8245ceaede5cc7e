// Package examples contains the shipped settings and sites, for the demo and
// the tests.
package examples

import (
	"embed"
	"errors"
	"fmt"
)

//go:embed */*.ini
var files embed.FS

// ErrNotFound reports a site that isn't shipped, or a file that a site doesn't
// have.
var ErrNotFound = errors.New("examples: no such site or file")

// Sites returns the names of the shipped sites.
func Sites() []string { return []string{"delta-north", "be-oost"} }

// Read returns the content of a site's file: host.ini or site.ini.
func Read(site, file string) ([]byte, error) {
	b, err := files.ReadFile(site + "/" + file)
	if err != nil {
		return nil, fmt.Errorf("%w: %s/%s", ErrNotFound, site, file)
	}
	return b, nil
}
