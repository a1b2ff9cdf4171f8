package inifile

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Section is one section of a file. Its methods give the fallback for a key that isn't in the file; for a value that is wrong
// they report it to Check, and give the fallback unless they say otherwise.
type Section struct {
	Name string
	file *File
	ini  *ini.Section // nil: it isn't in the file
}

// Exists reports whether the section is in the file.
func (s *Section) Exists() bool { return s.ini != nil }

// Errorf reports that a key's value is wrong, or the section if the key is empty.
func (s *Section) Errorf(key, format string, args ...any) {
	label := "[" + s.Name + "]"
	if key != "" {
		label += " " + key
	}
	line := s.file.lines[entry{s.Name, key}]
	if line == 0 { // the key isn't in the file
		line = s.file.lines[entry{section: s.Name}]
	}
	s.file.problems = append(s.file.problems, problem{line, label + ": " + fmt.Sprintf(format, args...)})
}

// Has reports whether a key is in the file; either way the key is a known one.
func (s *Section) Has(key string) bool {
	s.file.read[entry{s.Name, key}] = true
	return s.ini != nil && s.ini.HasKey(key)
}

// String gives a key's value.
func (s *Section) String(key, fallback string) string {
	if !s.Has(key) {
		return fallback
	}
	return s.ini.Key(key).String()
}

// Strings gives the words of a key's value, which are separated by spaces, tabs or commas.
func (s *Section) Strings(key string) []string {
	return strings.FieldsFunc(s.String(key, ""), func(r rune) bool { return r == ' ' || r == ',' || r == '\t' })
}

// OneOf gives the index of a key's value among the words, 0 for a wrong one.
func (s *Section) OneOf(key, fallback string, words ...string) int {
	i := slices.Index(words, s.String(key, fallback))
	if i < 0 {
		s.Errorf(key, "%q is none of %s", s.String(key, ""), strings.Join(words, ", "))
		return 0
	}
	return i
}

// OneOf gives a key's value, which has to be one of some; the first of them for a wrong one.
func OneOf[T ~string](s *Section, key string, fallback T, values ...T) T {
	words := make([]string, len(values))
	for i, v := range values {
		words[i] = string(v)
	}
	return values[s.OneOf(key, string(fallback), words...)]
}

// Bool gives a key's value, which is yes or no; no for a wrong one.
func (s *Section) Bool(key string, fallback bool) bool {
	word := "no"
	if fallback {
		word = "yes"
	}
	return s.OneOf(key, word, "no", "yes") == 1
}

// Int gives a key's value, a whole number from low to high.
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

// Float gives a key's value, a number from low to high.
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

// Duration gives a key's value, a duration from low to high as time.ParseDuration reads it.
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
