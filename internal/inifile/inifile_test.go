package inifile

import (
	"errors"
	"slices"
	"testing"
	"time"
)

func TestCheckReportsEveryProblem(t *testing.T) {
	f, err := Parse("f.ini", []byte("stray = 1\n[a]\nn = x\nn = 2\nspan = 5\nword = c\n; comment\nextra = 1\n\n[b]\n[c]\nlate = 99\n"))
	if err != nil {
		t.Fatal(err)
	}
	a := f.Section("a")
	a.Int("n", 0, 0, 9)
	a.Duration("span", 0, 0, time.Minute)
	a.OneOf("word", "a", "a", "b")
	f.Section("c").Float("late", 0, 0, 1)
	f.Section("d").Errorf("", "missing")
	var validation *ValidationError
	if err := f.Check(); !errors.As(err, &validation) {
		t.Fatalf("got %v", err)
	}
	want := []string{
		`f.ini:0: [d]: missing`,
		`f.ini:1: [] stray: appears before any section`,
		`f.ini:4: n is defined twice, first at line 3`,
		`f.ini:5: [a] span: "5" is not a duration from 0s to 1m0s`,
		`f.ini:6: [a] word: "c" is not one of a, b`,
		`f.ini:8: [a] extra: unknown key`,
		`f.ini:10: [b]: unknown section`,
		`f.ini:12: [c] late: "99" is not a number from 0 to 1`,
	}
	if !slices.Equal(validation.Problems, want) {
		t.Errorf("got %q", validation.Problems)
	}
}

func TestFallbacks(t *testing.T) {
	f, err := Parse("f.ini", []byte("[a]\nn = 3\nyes = no\n"))
	if err != nil {
		t.Fatal(err)
	}
	a := f.Section("a")
	if a.Int("n", 1, 0, 9) != 3 || a.Int("m", 1, 0, 9) != 1 || a.Bool("yes", true) || !a.Bool("other", true) || f.Section("none").Exists() {
		t.Error("values or fallbacks are wrong")
	}
	if err := f.Check(); err != nil {
		t.Error(err)
	}
}
