package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// deployFile is the part of deploy/balancer.toml that tells the operators how to build and start the router.
type deployFile struct {
	Build string `toml:"build"`
	Run   string `toml:"run"`
}

// TestDeployedRouterIsLinkedAgainstLibc guards against a statically linked binary, into which the operators' test bench can't load its
// library. It runs the build command of the deploy file in a copy of the sources and inspects the binary that 'run' starts.
func TestDeployedRouterIsLinkedAgainstLibc(t *testing.T) {
	root := filepath.Join("..", "..")
	var deploy deployFile
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy", "balancer.toml"), &deploy); err != nil {
		t.Fatal(err)
	}
	run := strings.Fields(deploy.Run)
	if len(run) < 2 || run[0] != "exec" {
		t.Fatalf("run = %q: without exec, the shell keeps running beside the router", deploy.Run)
	}
	copied := t.TempDir()
	entries, err := os.ReadDir(root)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if e.Name() == ".git" || e.Name() == "bin" || e.Name() == "journal" { // not sources
			continue
		}
		if e.IsDir() {
			err = os.CopyFS(filepath.Join(copied, e.Name()), os.DirFS(filepath.Join(root, e.Name())))
		} else {
			var text []byte
			if text, err = os.ReadFile(filepath.Join(root, e.Name())); err == nil {
				err = os.WriteFile(filepath.Join(copied, e.Name()), text, 0o644)
			}
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	build := exec.Command("/bin/sh", "-c", deploy.Build)
	build.Dir = copied
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", deploy.Build, err, out)
	}
	f, err := elf.Open(filepath.Join(copied, run[1]))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the binary has no interpreter: no library can be loaded into it")
	}
	libraries, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("imported libraries %v, %v: no libc", libraries, err)
	}
}
