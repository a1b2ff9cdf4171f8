package main

import (
	"hollymast/internal/program"
	"os"
	"path/filepath"
)

// routerProgram finds the router's program: the one named, else hollymast beside this one.
func routerProgram(name string) (string, error) {
	if name == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		name = filepath.Join(filepath.Dir(self), "hollymast")
	}
	if _, err := os.Stat(name); err != nil {
		return "", program.UsageError{Err: err}
	}
	return name, nil
}
