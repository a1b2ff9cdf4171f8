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

// TestMain runs the tests, or, in a process started by TestKilledWriters, writes until it is killed.
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

// Writers killed at random moments leave an intact generation, no older than the last that they reported, and a journal with all that
// they reported as durable.
func TestKilledWriters(t *testing.T) {
	kills := 50
	if n, err := strconv.Atoi(os.Getenv("HOLLYMAST_KILLS")); err == nil {
		kills = n
	}
	dir := t.TempDir()
	chance := rand.New(rand.NewPCG(1, 2))
	temporaryDir := t.TempDir()
	last, before := 0, 0
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
		for read, after := 0, 1+chance.IntN(4); lines.Scan(); read++ {
			n, err := strconv.Atoi(strings.TrimSpace(lines.Text()))
			if err != nil {
				t.Fatalf("kill %d: the writer says %q", i, lines.Text())
			}
			written[IdempotencyKey(n)] = true
			if last = max(last, n); read+1 == after { // some generations on, at any moment of the next ones
				time.Sleep(time.Duration(chance.IntN(3000)) * time.Microsecond)
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
			if !ok || version < last || version > max(last, before)+1 {
				t.Fatalf("kill %d: got %d after %d, whole %t", i, version, last, ok)
			}
			before = version // perhaps one that its writer could not report any more
		}
	}
	journal, entries, _, err := OpenJournal(dir, SyncNever, 1<<40, 1<<30, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	journal.Close()
	in := map[IdempotencyKey]bool{}
	for _, e := range entries {
		in[e.Key] = true
	}
	for version := range written {
		if !in[version] {
			t.Fatalf("the journal lacks %d of %d", version, last)
		}
	}
	left, err := filepath.Glob(filepath.Join(dir, "*memory*"))
	if err != nil {
		t.Fatal(err)
	}
	if hidden, err := os.ReadDir(temporaryDir); err != nil || len(hidden) > 0 || len(left) > len(GenerationFiles)+1 {
		t.Errorf("%d kills left %d files elsewhere, and %q, %v", kills, len(hidden), left, err)
	}
	if last < kills {
		t.Errorf("only %d generations in %d processes", last, kills)
	}
}
