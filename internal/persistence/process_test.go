package persistence

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"hollymast/control"
)

// TestMain runs the tests or, in a process started by TestKilledWriters, writes until it is killed.
func TestMain(m *testing.M) {
	dir := os.Getenv("HOLLYMAST_TEST_WRITE")
	if dir == "" {
		os.Exit(m.Run())
	}
	if _, err := Lock(dir); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	store, result := OpenStore(Dir(dir), testOwner)
	version := 0
	if result.State != nil {
		version, _ = stateVersion(result.State)
	}
	journal, _, _, err := OpenJournal(dir, SyncGrouped, 1<<40, 1<<30, func(error) {})
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for {
		version++
		batch := journal.Append(Entry{Kind: EntryAttempt, At: control.Micros(version), Key: IdempotencyKey(version)})
		if err := store.Write(testState(version)); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		if <-batch.Done(); batch.Err() != nil {
			fmt.Println(batch.Err())
			os.Exit(1)
		}
		fmt.Println(version)
	}
}

// A writer process killed at a random moment leaves an intact generation, no older than the last one it reported, and a journal with
// everything that it reported as durable.
func TestKilledWriters(t *testing.T) {
	kills := 50
	if n, err := strconv.Atoi(os.Getenv("HOLLYMAST_KILLS")); err == nil {
		kills = n
	}
	dir := t.TempDir()
	random := rand.New(rand.NewPCG(1, 2))
	temporaryDir := t.TempDir()
	last, previous := 0, 0
	written := map[IdempotencyKey]bool{}
	for i := range kills {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "HOLLYMAST_TEST_WRITE="+dir, "TMPDIR="+temporaryDir)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(out)
		for read, killAfter := 0, 1+random.IntN(4); lines.Scan(); read++ {
			n, err := strconv.Atoi(strings.TrimSpace(lines.Text()))
			if err != nil {
				t.Fatalf("kill %d: the writer printed %q", i, lines.Text())
			}
			written[IdempotencyKey(n)] = true
			if last = max(last, n); read+1 == killAfter { // kill while one of the following generations is written
				time.Sleep(time.Duration(random.IntN(3000)) * time.Microsecond)
				cmd.Process.Kill()
			}
		}
		cmd.Wait()
		_, result := OpenStore(Dir(dir), testOwner)
		if len(result.Warnings) > 0 || result.State == nil && last > 0 {
			t.Fatalf("kill %d: %+v", i, result)
		}
		if result.State != nil {
			version, ok := stateVersion(result.State)
			if !ok || version < last || version > max(last, previous)+1 {
				t.Fatalf("kill %d: got version %d after %d, intact %t", i, version, last, ok)
			}
			previous = version // its writer may have been killed before it could report it
		}
	}
	journal, entries, _, err := OpenJournal(dir, SyncNever, 1<<40, 1<<30, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	journal.Close()
	found := map[IdempotencyKey]bool{}
	for _, e := range entries {
		found[e.Key] = true
	}
	for version := range written {
		if !found[version] {
			t.Fatalf("the journal lacks version %d of %d", version, last)
		}
	}
	remaining, err := filepath.Glob(filepath.Join(dir, "*memory*"))
	if err != nil {
		t.Fatal(err)
	}
	if temporaryFiles, err := os.ReadDir(temporaryDir); err != nil || len(temporaryFiles) > 0 || len(remaining) > len(GenerationFiles)+1 {
		t.Errorf("%d kills left %d files in the temporary directory, and %q, %v", kills, len(temporaryFiles), remaining, err)
	}
	if last < kills {
		t.Errorf("only %d generations written by %d processes", last, kills)
	}
}
