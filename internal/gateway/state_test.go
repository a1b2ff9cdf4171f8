package gateway

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/invariant"
	"hollymast/internal/persistence"
)

// stateSection returns the INI section that configures a folder for learned state.
func stateSection(dir string) string {
	return fmt.Sprintf("[memory]\nfolder = %s\nevery = 100ms\n", dir)
}

// The next incarnation reads from the folder where functions are loaded.
func TestLearnedStateOutlastsRestart(t *testing.T) {
	dir := t.TempDir()
	first := newTestGatewayWith(t, stateSection(dir), serverConfig(0), serverConfig(1), serverConfig(2))
	if answer := first.call("1", "forecast-1", time.Second); answer != invariant.Succeeded {
		t.Fatal(answer)
	}
	second, err := New(first.gateway.config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if second.state != nil { // a second router on the same folder runs without it
		t.Error("a second router uses the folder too")
	}
	second.closeListeners()
	first.stop()
	if err := <-first.ended; err != nil {
		t.Fatal(err)
	}
	first.ended <- nil
	next, err := New(first.gateway.config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer next.closeListeners()
	defer next.state.close()
	s, err := next.core.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Balancer.Functions) != 1 || !slices.ContainsFunc(s.Balancer.Functions[0].Instances, func(in control.InstanceSnapshot) bool { return in.Replicas == 1 && in.InFlight == 0 }) {
		t.Errorf("got %+v", s.Balancer.Functions)
	}
}

// The router serves requests even if the folder is unusable.
func TestStartWithUnusableFolder(t *testing.T) {
	for name, prepare := range map[string]func(dir string) error{
		"a file":       func(dir string) error { return os.WriteFile(dir, nil, 0o600) },
		"rubbish":      func(dir string) error { return writeStateFile(dir, persistence.GenerationFiles[0], "rubbish") },
		"a folder":     func(dir string) error { return os.MkdirAll(filepath.Join(dir, persistence.GenerationFiles[0]), 0o700) },
		"bad journal":  func(dir string) error { return writeStateFile(dir, "journal-00000001", "rubbish") },
		"last journal": func(dir string) error { return writeStateFile(dir, "journal-99999999999999999999", "") },
		"lock":         func(dir string) error { return os.MkdirAll(filepath.Join(dir, "lock"), 0o700) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "m")
			if err := prepare(dir); err != nil {
				t.Fatal(err)
			}
			tg := newTestGatewayWith(t, stateSection(dir), serverConfig(0))
			if answer := tg.call("1", "forecast-1", time.Second); answer != invariant.Succeeded {
				t.Error(answer)
			}
		})
	}
}

func writeStateFile(dir, name, text string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)
}
