// Package inifile reads INI files and reports all errors of a file at once, each with its file, line and key.
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

// File is a parsed INI file. Values are read with the methods of its sections, which collect errors; Check reports
// them.
type File struct {
	Name     string
	ini      *ini.File
	lines    map[entry]int // line numbers of sections and keys, from 1
	read     map[entry]bool
	problems []problem
}

// entry identifies a key, or a section if the key is empty.
type entry struct{ section, key string }

type problem struct {
	line int
	text string
}

// Load reads and parses a file.
func Load(name string) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse parses a file's text; name is used in messages. It returns only syntax errors; all other errors are reported by
// Check.
func Parse(name string, text []byte) (*File, error) {
	f := &File{Name: name, lines: map[entry]int{}, read: map[entry]bool{}}
	f.indexLines(text)
	var err error
	f.ini, err = ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true, Insensitive: false}, text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return f, nil
}

// indexLines records the line numbers of sections and keys, which the INI library does not report, and adds an error
// for each duplicate, which the library merges.
func (f *File) indexLines(text []byte) {
	section := ""
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[' && strings.HasSuffix(line, "]"):
			section = strings.TrimSpace(line[1 : len(line)-1])
			f.addLine(n, entry{section: section}, "section "+section)
		default:
			if i := strings.IndexAny(line, "=:"); i > 0 {
				key := strings.TrimSpace(line[:i])
				f.addLine(n, entry{section, key}, key)
			}
		}
	}
}

func (f *File) addLine(line int, e entry, label string) {
	if first, duplicate := f.lines[e]; duplicate {
		f.problems = append(f.problems, problem{line, fmt.Sprintf("%s is defined twice, first at line %d", label, first)})
		return
	}
	f.lines[e] = line
}

// Section returns a section by name. A section that is not in the file has no keys.
func (f *File) Section(name string) *Section {
	f.read[entry{section: name}] = true
	section, err := f.ini.GetSection(name)
	if err != nil {
		section = nil
	}
	return &Section{file: f, Name: name, ini: section}
}

// Sections returns the sections whose names begin with a prefix, in the order of the file. Their names include the
// prefix.
func (f *File) Sections(prefix string) []*Section {
	var sections []*Section
	for _, section := range f.ini.Sections() {
		if strings.HasPrefix(section.Name(), prefix) && section.Name() != ini.DefaultSection {
			sections = append(sections, f.Section(section.Name()))
		}
	}
	return sections
}

// ValidationError holds all errors of a file.
type ValidationError struct {
	File     string
	Problems []string // each with its file and line, by ascending line
}

func (e *ValidationError) Error() string { return strings.Join(e.Problems, "\n") }

// Check returns all errors of the file as a *ValidationError, or nil. It is called after all values have been read, and
// reports sections and keys that have not been read as unknown.
func (f *File) Check() error {
	for _, section := range f.ini.Sections() {
		f.checkSection(&Section{file: f, Name: section.Name(), ini: section})
	}
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b problem) int { return a.line - b.line })
	e := &ValidationError{File: f.Name}
	for _, p := range f.problems {
		e.Problems = append(e.Problems, fmt.Sprintf("%s:%d: %s", f.Name, p.line, p.text))
	}
	return e
}

func (f *File) checkSection(s *Section) {
	keys := s.ini.KeyStrings()
	switch {
	case s.Name == ini.DefaultSection && len(keys) == 0:
	case f.read[entry{section: s.Name}]:
		for _, key := range keys {
			if !f.read[entry{s.Name, key}] {
				s.Errorf(key, "unknown key")
			}
		}
	case s.Name == ini.DefaultSection:
		s.Name = "" // as in f.lines
		for _, key := range keys {
			s.Errorf(key, "appears before any section")
		}
	default:
		s.Errorf("", "unknown section")
	}
}
