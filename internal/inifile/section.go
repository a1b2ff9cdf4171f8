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

// Section is one section of a file.
type Section struct {
	f    *File
	Name string
	sec  *ini.Section
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
