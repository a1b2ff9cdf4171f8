package main

import (
	_ "embed"

	"hollymast/internal/gateway"
	"hollymast/internal/inifile"
	"hollymast/internal/program"
)

type checkCommand struct {
	File string `arg:"" help:"Settings file (INI)."`
}

func (c checkCommand) Run() error {
	_, err := loadConfig(c.File)
	return err
}

func loadConfig(name string) (*gateway.Config, error) {
	f, err := inifile.Load(name)
	if err != nil {
		return nil, program.UsageError{Err: err}
	}
	return gateway.ParseConfig(f)
}
