// Package inifile reads INI files strictly.
//
// A reader asks a section for each key that it knows, with the values that it
// allows. Whatever is wrong is noted and not returned, so that one run shows every
// fault of a file; keys and sections that nobody asked for are faults too. Err
// returns them all, each with file, section, key, what was found and what is
// allowed.
package inifile

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"curlewsill.org/curlewsill/core/unit"
)

// ErrInvalid is what every fault of a file wraps.
var ErrInvalid = errors.New("invalid file")

// File is a parsed file.
type File struct {
	name     string
	sections []*Section
	faults   []error
}

// Section is one section of a file. Its header is [KIND] or [KIND NAME].
type Section struct {
	// Kind is the first word of the header and Name the rest.
	Kind, Name string

	file   *File
	header string
	keys   map[string][]string
	asked  map[string]bool
	used   bool
}

// Read reads the file with the given name.
func Read(name string) (*File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return Parse(name, data)
}

// Parse reads a file's content. The name appears in errors.
func Parse(name string, data []byte) (*File, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		SkipUnrecognizableLines:    false,
		IgnoreInlineComment:        false,
		KeyValueDelimiters:         "=",
	}, data)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalid, name, err)
	}
	f := &File{name: name}
	seen := map[string]bool{}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		if seen[s.Name()] {
			f.fault(s.Name(), "", "a second section of that name", "one section of each name")
		}
		seen[s.Name()] = true
		f.add(s)
	}
	return f, nil
}

func (f *File) add(s *ini.Section) {
	kind, name, _ := strings.Cut(s.Name(), " ")
	sec := &Section{
		Kind: kind, Name: strings.TrimSpace(name), file: f, header: s.Name(),
		keys: map[string][]string{}, asked: map[string]bool{},
	}
	for _, k := range s.Keys() {
		sec.keys[k.Name()] = k.ValueWithShadows()
	}
	f.sections = append(f.sections, sec)
}

// Section returns the only section of a kind without a name. A missing one is
// empty.
func (f *File) Section(kind string) *Section {
	for _, s := range f.sections {
		if s.Kind == kind && s.Name == "" {
			s.used = true
			return s
		}
	}
	return &Section{Kind: kind, header: kind, file: f, keys: map[string][]string{}, asked: map[string]bool{}}
}

// Sections returns all sections of a kind with a name, in the order of the file.
func (f *File) Sections(kind string) []*Section {
	var out []*Section
	for _, s := range f.sections {
		if s.Kind == kind && s.Name != "" {
			s.used = true
			out = append(out, s)
		}
	}
	return out
}

// Err returns all faults of the file, or nil.
func (f *File) Err() error {
	out := slices.Clone(f.faults)
	for _, s := range f.sections {
		if !s.used {
			out = append(out, f.describe(s.header, "", "an unknown section", "a known section"))
			continue
		}
		for _, k := range sortedKeys(s.keys) {
			if !s.asked[k] {
				out = append(out, f.describe(s.header, k, "an unknown key", "one of "+strings.Join(sortedKeys(s.asked), ", ")))
			}
		}
	}
	return errors.Join(out...)
}

func (f *File) fault(section, key, found, want string) {
	f.faults = append(f.faults, f.describe(section, key, found, want))
}

func (f *File) describe(section, key, found, want string) error {
	where := fmt.Sprintf("%s: [%s]", f.name, section)
	if key != "" {
		where += " " + key
	}
	return fmt.Errorf("%w: %s: found %s, want %s", ErrInvalid, where, found, want)
}

// Fault notes a fault that the reader found in the value of a key.
func (s *Section) Fault(key, want string) { s.bad(key, s.raw(key), want) }

func (s *Section) bad(key, found, want string) {
	s.file.fault(s.header, key, strconv.Quote(found), want)
}

func (s *Section) raw(key string) string {
	if v := s.keys[key]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// get returns the value of a key, and whether it is there and not empty.
func (s *Section) get(key string) (string, bool) {
	s.asked[key] = true
	v := s.keys[key]
	if len(v) > 1 {
		s.file.fault(s.header, key, "the key "+strconv.Itoa(len(v))+" times", "one value")
	}
	return s.raw(key), s.raw(key) != ""
}

// Text returns a string, or def if the key is missing.
func (s *Section) Text(key, def string) string {
	if v, ok := s.get(key); ok {
		return v
	}
	return def
}

// Need returns a string that must be there.
func (s *Section) Need(key string) string {
	v, ok := s.get(key)
	if !ok {
		s.bad(key, "", "a value")
	}
	return v
}

// OneOf returns one of the allowed values. The first is the default.
func (s *Section) OneOf(key string, allowed ...string) string {
	v, ok := s.get(key)
	if !ok {
		return allowed[0]
	}
	if !slices.Contains(allowed, v) {
		s.bad(key, v, "one of "+strings.Join(allowed, ", "))
	}
	return v
}

// Int returns a number between least and most, or def if the key is missing.
func (s *Section) Int(key string, def, least, most int) int {
	v, ok := s.get(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most {
		s.bad(key, v, fmt.Sprintf("a whole number from %d to %d", least, most))
		return def
	}
	return n
}

// Number returns a number, perhaps with a fraction, between least and most, or def if the
// key is missing.
func (s *Section) Number(key string, def, least, most float64) float64 {
	v, ok := s.get(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= least && n <= most) {
		s.bad(key, v, fmt.Sprintf("a number from %g to %g", least, most))
		return def
	}
	return n
}

// Bool returns yes or no, or def if the key is missing.
func (s *Section) Bool(key string, def bool) bool {
	v, ok := s.get(key)
	if !ok {
		return def
	}
	if v != "yes" && v != "no" {
		s.bad(key, v, "yes or no")
	}
	return v == "yes"
}

// Duration returns a time with its unit between least and most, or def if the key
// is missing.
func (s *Section) Duration(key string, def, least, most time.Duration) time.Duration {
	v, ok := s.get(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < least || d > most {
		s.bad(key, v, fmt.Sprintf("a time with its unit from %s to %s", least, most))
		return def
	}
	return d
}

// The units of sizes, largest first, so that the longest suffix is tried first.
var sizes = []struct {
	suffix string
	unit   unit.Bytes
}{{"GiB", unit.GiB}, {"MiB", unit.MiB}, {"KiB", unit.KiB}}

// Size returns an amount of memory with its unit between least and most, or def if
// the key is missing.
func (s *Section) Size(key string, def, least, most unit.Bytes) unit.Bytes {
	v, ok := s.get(key)
	if !ok {
		return def
	}
	for _, x := range sizes {
		number, found := strings.CutSuffix(v, x.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 32)
		if size := unit.Bytes(n) * x.unit; err == nil && size >= least && size <= most {
			return size
		}
	}
	s.bad(key, v, fmt.Sprintf("a size in KiB, MiB or GiB from %dKiB to %dKiB", least/unit.KiB, most/unit.KiB))
	return def
}

// Address returns a listening address HOST:PORT with an IP number.
func (s *Section) Address(key, def string) string {
	v, ok := s.get(key)
	if !ok {
		v = def
	}
	host, port, err := net.SplitHostPort(v)
	if _, perr := strconv.ParseUint(port, 10, 16); err != nil || perr != nil || net.ParseIP(host) == nil {
		s.bad(key, v, "an IP number and a port, as in 127.0.0.1:8080")
	}
	return v
}

// OptionalAddress returns an address, or an empty text if the key is missing.
func (s *Section) OptionalAddress(key string) string {
	if _, ok := s.get(key); !ok {
		return ""
	}
	return s.Address(key, "")
}

// URL returns an http or https address that must be there.
func (s *Section) URL(key string) string {
	v, ok := s.get(key)
	u, err := url.Parse(v)
	if !ok || err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		s.bad(key, v, "an address that begins with http:// or https://")
	}
	return strings.TrimSuffix(v, "/")
}

// List returns the elements of a comma-separated list.
func (s *Section) List(key string) []string {
	v, ok := s.get(key)
	if !ok {
		return nil
	}
	var out []string
	for _, part := range strings.Split(v, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
