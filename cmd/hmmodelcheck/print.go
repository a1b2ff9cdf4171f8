package main

import (
	"fmt"

	"hollymast/internal/modelcheck"
)

type propertiesCommand struct{}

// Run prints the properties.
func (propertiesCommand) Run() error {
	for _, p := range modelcheck.Properties {
		fmt.Printf("%-15s %s\n", p.Name, p.Description)
	}
	return nil
}

type diagramCommand struct{}

// Run prints the diagram.
func (diagramCommand) Run() error {
	fmt.Print(modelcheck.AttemptDiagram())
	return nil
}
