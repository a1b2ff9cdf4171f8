package main

import (
	"hollymast/internal/gateway"
	"hollymast/internal/inifile"
	"hollymast/internal/program"
)

type checkCommand struct {
	File string `arg:"" help:"Settings file (INI)."`
}

// Run reports what is wrong with the file.
func (c checkCommand) Run() error {
	_, err := loadConfig(c.File)
	return err
}

// loadConfig reads the gateway's configuration. Its errors are a program.UsageError, or an *inifile.ValidationError that names all that is
// wrong.
func loadConfig(name string) (*gateway.Config, error) {
	f, err := inifile.Load(name)
	if err != nil {
		return nil, program.UsageError{Err: err}
	}
	return gateway.ParseConfig(f)
}
