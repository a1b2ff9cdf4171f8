package persistence

import (
	"os"
	"path/filepath"
	"testing"
)

func TestUnusableDirectories(t *testing.T) {
	dir := t.TempDir()
	unlock, err := Lock(filepath.Join(dir, "made"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(filepath.Join(dir, "made")); err == nil {
		t.Error("a second lock on the directory succeeded")
	}
	unlock()
	if unlock, err = Lock(filepath.Join(dir, "made")); err != nil {
		t.Error(err)
	} else {
		unlock()
	}
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(file); err == nil {
		t.Error("a file was locked as a directory")
	}
	if err := os.Mkdir(filepath.Join(dir, "made", GenerationFiles[0]), 0o700); err != nil {
		t.Fatal(err)
	}
	s, result := OpenStore(Dir(filepath.Join(dir, "made")), testOwner)
	if result.State != nil || len(result.Warnings) != 1 {
		t.Errorf("got %+v", result)
	}
	if err := s.Write(testState(1)); err != nil { // to the other generation's file
		t.Error(err)
	}
	if err := s.Write(testState(2)); err == nil {
		t.Error("a directory was replaced by a file")
	}
}
