package main

import (
	"hollymast/internal/gateway"
	"hollymast/internal/inifile"
	"hollymast/internal/program"
)

type checkCommand struct {
	File string `arg:"" help:"Settings file (INI)."`
}

// Run returns an error if the settings file is invalid.
func (c checkCommand) Run() error {
	_, err := loadConfig(c.File)
	return err
}

// loadConfig reads the gateway's configuration. The error is a program.UsageError if the file can't be loaded, or an
// *inifile.ValidationError that lists all problems.
func loadConfig(name string) (*gateway.Config, error) {
	f, err := inifile.Load(name)
	if err != nil {
		return nil, program.UsageError{Err: err}
	}
	return gateway.ParseConfig(f)
}
