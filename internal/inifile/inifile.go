// Package inifile reads INI files so that every fault can be told with its file, line and key, all at once.
package inifile

import (
	"bufio"
	"bytes"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// File is an INI file under reading. Values are taken with the methods of its sections; what is wrong is gathered.
type File struct {
	Name     string
	file     *ini.File
	lines    map[string]int // of "section" and "section\x00key"
	used     map[string]bool
	problems []problem
}

type problem struct {
	line int
	text string
}

// Load reads a file.
func Load(name string) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Read reads a file's text; the name is for messages.
func Parse(name string, text []byte) (*File, error) {
	f := &File{Name: name, lines: map[string]int{}, used: map[string]bool{}}
	section := ""
	sc := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; sc.Scan(); n++ {
		s := strings.TrimSpace(sc.Text())
		switch {
		case s == "" || s[0] == '#' || s[0] == ';':
			continue
		case s[0] == '[' && strings.HasSuffix(s, "]"):
			section = strings.TrimSpace(s[1 : len(s)-1])
			f.recordLine(n, section, "section "+section)
			continue
		}
		if i := strings.IndexAny(s, "=:"); i > 0 {
			key := strings.TrimSpace(s[:i])
			f.recordLine(n, section+"\x00"+key, key)
		}
	}
	var err error
	f.file, err = ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true, Insensitive: false}, text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return f, nil
}

func (f *File) recordLine(line int, at, what string) {
	if first, twice := f.lines[at]; twice {
		f.problems = append(f.problems, problem{line, fmt.Sprintf("%s stands twice, first at line %d", what, first)})
		return
	}
	f.lines[at] = line
}

// Section is one section of a file.
type Section struct {
	f    *File
	Name string
	sec  *ini.Section
}

// Section gives a section by name; one that is missing has no keys.
func (f *File) Section(name string) *Section {
	f.used[name] = true
	sec, err := f.file.GetSection(name)
	if err != nil {
		sec = nil
	}
	return &Section{f, name, sec}
}

// Sections gives, in the file's order, the sections whose names begin with a prefix; Name keeps the prefix.
func (f *File) Sections(prefix string) []*Section {
	var ss []*Section
	for _, sec := range f.file.Sections() {
		if strings.HasPrefix(sec.Name(), prefix) && sec.Name() != ini.DefaultSection {
			ss = append(ss, f.Section(sec.Name()))
		}
	}
	return ss
}

// Exists tells whether the section stands in the file.
func (s *Section) Exists() bool { return s.sec != nil }

// Fault notes that a key's value, or with an empty key the section, is wrong.
func (s *Section) Errorf(key, why string, args ...any) {
	at, what := s.Name, "["+s.Name+"]"
	if key != "" {
		at, what = s.Name+"\x00"+key, "["+s.Name+"] "+key
	}
	line := s.f.lines[at]
	if line == 0 {
		line = s.f.lines[s.Name]
	}
	s.f.problems = append(s.f.problems, problem{line, what + ": " + fmt.Sprintf(why, args...)})
}

// Has tells whether a key is given, and marks it as known.
func (s *Section) Has(key string) bool {
	s.f.used[s.Name+"\x00"+key] = true
	return s.sec != nil && s.sec.HasKey(key)
}

// Text gives a key's value, or the fallback.
func (s *Section) String(key, fallback string) string {
	if !s.Has(key) {
		return fallback
	}
	return s.sec.Key(key).String()
}

// Words gives a key's words, which stand between spaces or commas.
func (s *Section) Strings(key string) []string {
	return strings.FieldsFunc(s.String(key, ""), func(r rune) bool { return r == ' ' || r == ',' || r == '\t' })
}

// OneOf gives the place of the key's value among the words.
func (s *Section) OneOf(key, fallback string, words ...string) int {
	i := slices.Index(words, s.String(key, fallback))
	if i < 0 {
		s.Errorf(key, "%q is none of %s", s.String(key, ""), strings.Join(words, ", "))
		return 0
	}
	return i
}

// Flag gives a yes or no.
func (s *Section) Bool(key string, fallback bool) bool {
	word := "no"
	if fallback {
		word = "yes"
	}
	return s.OneOf(key, word, "no", "yes") == 1
}

// Int gives a whole number from low to high.
func (s *Section) Int(key string, fallback, low, high int) int {
	if !s.Has(key) {
		return fallback
	}
	n, err := strconv.Atoi(s.String(key, ""))
	if err != nil || n < low || n > high {
		s.Errorf(key, "%q is no whole number from %d to %d", s.String(key, ""), low, high)
		return fallback
	}
	return n
}

// Float gives a number from low to high.
func (s *Section) Float(key string, fallback, low, high float64) float64 {
	if !s.Has(key) {
		return fallback
	}
	v, err := strconv.ParseFloat(s.String(key, ""), 64)
	if err != nil || math.IsNaN(v) || v < low || v > high {
		s.Errorf(key, "%q is no number from %g to %g", s.String(key, ""), low, high)
		return fallback
	}
	return v
}

// Span gives a span of time, written as 250ms or 1m30s.
func (s *Section) Duration(key string, fallback, low, high time.Duration) time.Duration {
	if !s.Has(key) {
		return fallback
	}
	d, err := time.ParseDuration(s.String(key, ""))
	if err != nil || d < low || d > high {
		s.Errorf(key, "%q is no span of time from %s to %s", s.String(key, ""), low, high)
		return fallback
	}
	return d
}

// Faults is every fault of a file.
type ValidationError struct {
	File     string
	Problems []string
}

func (e *ValidationError) Error() string { return strings.Join(e.Problems, "\n") }

// Check ends the reading: what nobody asked for is unknown. It gives a *Faults with all that is wrong, or nil.
func (f *File) Check() error {
	for _, sec := range f.file.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		s := &Section{f, sec.Name(), sec}
		if !f.used[sec.Name()] {
			if sec.Name() != ini.DefaultSection {
				s.Errorf("", "unknown section")
				continue
			}
			s.Name = ""
			for _, k := range sec.KeyStrings() {
				s.Errorf(k, "stands before any section")
			}
			continue
		}
		for _, k := range sec.KeyStrings() {
			if !f.used[sec.Name()+"\x00"+k] {
				s.Errorf(k, "unknown key")
			}
		}
	}
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b problem) int { return a.line - b.line })
	e := &ValidationError{File: f.Name}
	for _, x := range f.problems {
		e.Problems = append(e.Problems, fmt.Sprintf("%s:%d: %s", f.Name, x.line, x.text))
	}
	return e
}
