// Package inifile reads INI files strictly.
//
// A reader requests each key that it knows from its section, together with the
// values that it allows. Faults are collected instead of returned at once, so that a
// single run reports every fault of a file. Keys and sections that the reader never
// requested are faults too. Err returns all faults, each with the file, the section,
// the key, the value found and the values allowed.
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

// ErrInvalid is wrapped by the error of every fault in a file.
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

	file      *File
	header    string
	keys      map[string][]string
	knownKeys map[string]bool
	requested bool
}

// Read reads the file with the given name.
func Read(name string) (*File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return Parse(name, data)
}

// Parse parses the content of a file. Errors refer to the file as name.
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
			f.addFault(s.Name(), "", "a second section of that name", "one section of each name")
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
		keys: map[string][]string{}, knownKeys: map[string]bool{},
	}
	for _, k := range s.Keys() {
		sec.keys[k.Name()] = k.ValueWithShadows()
	}
	f.sections = append(f.sections, sec)
}

// Section returns the section with the header [KIND]. If the file has none, the
// section returned has no keys.
func (f *File) Section(kind string) *Section {
	for _, s := range f.sections {
		if s.Kind == kind && s.Name == "" {
			s.requested = true
			return s
		}
	}
	return &Section{Kind: kind, header: kind, file: f, keys: map[string][]string{}, knownKeys: map[string]bool{}}
}

// Sections returns all sections with a header [KIND NAME], in the order of the file.
func (f *File) Sections(kind string) []*Section {
	var out []*Section
	for _, s := range f.sections {
		if s.Kind == kind && s.Name != "" {
			s.requested = true
			out = append(out, s)
		}
	}
	return out
}

// Err returns all faults of the file, or nil.
func (f *File) Err() error {
	out := slices.Clone(f.faults)
	for _, s := range f.sections {
		if !s.requested {
			out = append(out, f.faultError(s.header, "", "an unknown section", "a known section"))
			continue
		}
		for _, k := range sortedKeys(s.keys) {
			if !s.knownKeys[k] {
				out = append(out, f.faultError(s.header, k, "an unknown key", "one of "+strings.Join(sortedKeys(s.knownKeys), ", ")))
			}
		}
	}
	return errors.Join(out...)
}

func (f *File) addFault(section, key, found, want string) {
	f.faults = append(f.faults, f.faultError(section, key, found, want))
}

// faultError returns the error for a fault. The key is empty if the fault is in the
// section itself.
func (f *File) faultError(section, key, found, want string) error {
	where := fmt.Sprintf("%s: [%s]", f.name, section)
	if key != "" {
		where += " " + key
	}
	return fmt.Errorf("%w: %s: found %s, want %s", ErrInvalid, where, found, want)
}

// Reject records a fault of a key: its value isn't what want describes.
func (s *Section) Reject(key, want string) { s.addFault(key, s.firstValue(key), want) }

func (s *Section) addFault(key, found, want string) {
	s.file.addFault(s.header, key, strconv.Quote(found), want)
}

func (s *Section) firstValue(key string) string {
	if v := s.keys[key]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// get returns the value of a key and whether it is present and not empty. It marks
// the key as known.
func (s *Section) get(key string) (string, bool) {
	s.knownKeys[key] = true
	v := s.keys[key]
	if len(v) > 1 {
		s.file.addFault(s.header, key, "the key "+strconv.Itoa(len(v))+" times", "one value")
	}
	return s.firstValue(key), s.firstValue(key) != ""
}

// Text returns a string, or def if the key is missing.
func (s *Section) Text(key, def string) string {
	if v, ok := s.get(key); ok {
		return v
	}
	return def
}

// Required returns a string. A missing or empty value is a fault.
func (s *Section) Required(key string) string {
	v, ok := s.get(key)
	if !ok {
		s.addFault(key, "", "a value")
	}
	return v
}

// OneOf returns one of the allowed values, by default the first.
func (s *Section) OneOf(key string, allowed ...string) string {
	v, ok := s.get(key)
	if !ok {
		return allowed[0]
	}
	if !slices.Contains(allowed, v) {
		s.addFault(key, v, "one of "+strings.Join(allowed, ", "))
	}
	return v
}

// Int returns a whole number from minValue to maxValue, or def if the key is missing.
func (s *Section) Int(key string, def, minValue, maxValue int) int {
	v, ok := s.get(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < minValue || n > maxValue {
		s.addFault(key, v, fmt.Sprintf("a whole number from %d to %d", minValue, maxValue))
		return def
	}
	return n
}

// Number returns a decimal number from minValue to maxValue, or def if the key is
// missing.
func (s *Section) Number(key string, def, minValue, maxValue float64) float64 {
	v, ok := s.get(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= minValue && n <= maxValue) {
		s.addFault(key, v, fmt.Sprintf("a number from %g to %g", minValue, maxValue))
		return def
	}
	return n
}

// Bool returns true for yes and false for no, or def if the key is missing.
func (s *Section) Bool(key string, def bool) bool {
	v, ok := s.get(key)
	if !ok {
		return def
	}
	if v != "yes" && v != "no" {
		s.addFault(key, v, "yes or no")
	}
	return v == "yes"
}

// Duration returns a duration, written with its unit, from minValue to maxValue, or
// def if the key is missing.
func (s *Section) Duration(key string, def, minValue, maxValue time.Duration) time.Duration {
	v, ok := s.get(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < minValue || d > maxValue {
		s.addFault(key, v, fmt.Sprintf("a time with its unit from %s to %s", minValue, maxValue))
		return def
	}
	return d
}

// sizeUnits are the units in which sizes are written, largest first.
var sizeUnits = []struct {
	suffix string
	unit   unit.Bytes
}{{"GiB", unit.GiB}, {"MiB", unit.MiB}, {"KiB", unit.KiB}}

// Size returns a size in bytes, written with its unit, from minValue to maxValue, or
// def if the key is missing.
func (s *Section) Size(key string, def, minValue, maxValue unit.Bytes) unit.Bytes {
	v, ok := s.get(key)
	if !ok {
		return def
	}
	for _, x := range sizeUnits {
		number, found := strings.CutSuffix(v, x.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 32)
		if size := unit.Bytes(n) * x.unit; err == nil && size >= minValue && size <= maxValue {
			return size
		}
	}
	s.addFault(key, v, fmt.Sprintf("a size in KiB, MiB or GiB from %dKiB to %dKiB", minValue/unit.KiB, maxValue/unit.KiB))
	return def
}

// Address returns an address IP:PORT, or def if the key is missing.
func (s *Section) Address(key, def string) string {
	v, ok := s.get(key)
	if !ok {
		v = def
	}
	host, port, err := net.SplitHostPort(v)
	if _, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || net.ParseIP(host) == nil {
		s.addFault(key, v, "an IP number and a port, as in 127.0.0.1:8080")
	}
	return v
}

// OptionalAddress returns an address IP:PORT, or an empty string if the key is
// missing.
func (s *Section) OptionalAddress(key string) string {
	if _, ok := s.get(key); !ok {
		return ""
	}
	return s.Address(key, "")
}

// URL returns an http or https URL without a trailing slash. A missing value is a
// fault.
func (s *Section) URL(key string) string {
	v, ok := s.get(key)
	u, err := url.Parse(v)
	if !ok || err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		s.addFault(key, v, "an address that begins with http:// or https://")
	}
	return strings.TrimSuffix(v, "/")
}

// List returns the non-empty elements of a comma-separated list.
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
