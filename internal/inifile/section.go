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

// Section is one section of a file. Its methods return the fallback for a key that is not in the file. They report an
// invalid value to Check, and return the fallback for it unless documented otherwise.
type Section struct {
	Name string
	file *File
	ini  *ini.Section // nil if the section is not in the file
}

// Exists reports whether the section is in the file.
func (s *Section) Exists() bool { return s.ini != nil }

// Errorf reports an error in a key's value, or in the section if the key is empty.
func (s *Section) Errorf(key, format string, args ...any) {
	label := "[" + s.Name + "]"
	if key != "" {
		label += " " + key
	}
	line := s.file.lines[entry{s.Name, key}]
	if line == 0 { // the key is not in the file
		line = s.file.lines[entry{section: s.Name}]
	}
	s.file.problems = append(s.file.problems, problem{line, label + ": " + fmt.Sprintf(format, args...)})
}

// Has reports whether a key is in the file, and marks it as known in either case.
func (s *Section) Has(key string) bool {
	s.file.read[entry{s.Name, key}] = true
	return s.ini != nil && s.ini.HasKey(key)
}

// String returns a key's value.
func (s *Section) String(key, fallback string) string {
	if !s.Has(key) {
		return fallback
	}
	return s.ini.Key(key).String()
}

// Strings returns the words of a key's value, which are separated by spaces, tabs or commas.
func (s *Section) Strings(key string) []string {
	return strings.FieldsFunc(s.String(key, ""), func(r rune) bool { return r == ' ' || r == ',' || r == '\t' })
}

// OneOf returns the index of a key's value in words, or 0 if the value is invalid.
func (s *Section) OneOf(key, fallback string, words ...string) int {
	i := slices.Index(words, s.String(key, fallback))
	if i < 0 {
		s.Errorf(key, "%q is not one of %s", s.String(key, ""), strings.Join(words, ", "))
		return 0
	}
	return i
}

// OneOf returns a key's value, which must be one of values, or the first of values if it is invalid.
func OneOf[T ~string](s *Section, key string, fallback T, values ...T) T {
	words := make([]string, len(values))
	for i, v := range values {
		words[i] = string(v)
	}
	return values[s.OneOf(key, string(fallback), words...)]
}

// Bool returns a key's value, which must be yes or no; an invalid value is taken as no.
func (s *Section) Bool(key string, fallback bool) bool {
	word := "no"
	if fallback {
		word = "yes"
	}
	return s.OneOf(key, word, "no", "yes") == 1
}

// Int returns a key's value, an integer from low to high.
func (s *Section) Int(key string, fallback, low, high int) int {
	if !s.Has(key) {
		return fallback
	}
	n, err := strconv.Atoi(s.String(key, ""))
	if err != nil || n < low || n > high {
		s.Errorf(key, "%q is not an integer from %d to %d", s.String(key, ""), low, high)
		return fallback
	}
	return n
}

// Float returns a key's value, a number from low to high.
func (s *Section) Float(key string, fallback, low, high float64) float64 {
	if !s.Has(key) {
		return fallback
	}
	v, err := strconv.ParseFloat(s.String(key, ""), 64)
	if err != nil || math.IsNaN(v) || v < low || v > high {
		s.Errorf(key, "%q is not a number from %g to %g", s.String(key, ""), low, high)
		return fallback
	}
	return v
}

// Duration returns a key's value, a duration from low to high in the syntax of time.ParseDuration.
func (s *Section) Duration(key string, fallback, low, high time.Duration) time.Duration {
	if !s.Has(key) {
		return fallback
	}
	d, err := time.ParseDuration(s.String(key, ""))
	if err != nil || d < low || d > high {
		s.Errorf(key, "%q is not a duration from %s to %s", s.String(key, ""), low, high)
		return fallback
	}
	return d
}
