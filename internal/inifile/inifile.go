// Package inifile reads INI files so that every fault can be told with its file, line and key, all at once.
package inifile

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"

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
