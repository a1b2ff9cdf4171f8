package main

import (
	"os"
	"path/filepath"

	"hollymast/internal/program"
)

// routerProgram returns the file of the router's executable: the named one, or hollymast in the directory of this program.
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
