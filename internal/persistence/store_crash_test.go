package persistence

import (
	"syscall"
	"testing"
)

// After a kill or a power failure at any file system call while the state is written, or with calls failing for a while, the last
// generation that was reported as written or a later one is intact, and at most one temporary file is left.
func TestStoreWithEachCallFailing(t *testing.T) {
	failureCount := 0
	for at := 1; at < 45; at++ {
		for _, failingCalls := range []int{1, 9} {
			for _, f := range []fault{failsBefore, failsPartway, killedBefore, killedPartway, killedAfter} {
				for _, exempt := range []string{"", "remove", "rename"} { // calls that do not fail
					disk := newFaultFS(func(n int, call, _ string) fault {
						if n >= at && n < at+failingCalls && call != exempt && call != "read" {
							return f
						}
						return noFault
					})
					store, _ := OpenStore(Dir("dir").withFileSystem(disk), testOwner)
					written := 0
					for version := 1; version <= 6 && !disk.isKilled(); version++ {
						if store.Write(testState(version)) == nil {
							written = version
						}
					}
					for _, c := range crashes {
						after := disk.afterCrash(c)
						_, result := OpenStore(Dir("dir").withFileSystem(after), testOwner)
						version, ok := 0, true
						if result.State != nil {
							version, ok = stateVersion(result.State)
						}
						if !ok || version < written || len(disk.names) > 3 || f < killedBefore && at+failingCalls+6 < disk.calls && written < 6 {
							if failureCount++; failureCount < 5 {
								t.Errorf("call %d, %d times (%d, but %q), %+v: got %d, written %d; %s", at, failingCalls, f, exempt, c, version, written, disk)
							}
						}
					}
				}
			}
		}
	}
	if failureCount > 0 {
		t.Errorf("%d cases failed", failureCount)
	}
}

// During startup, a state file that can't be read for a short time is read by a retry.
func TestStoreThatCannotBeReadAtStart(t *testing.T) {
	disk := newFaultFS(func(n int, call, _ string) fault {
		if call == "read" && n < 20 && n%3 > 0 {
			return failsBefore
		}
		return noFault
	})
	b, err := Encode(&State{Owner: testOwner, Generation: 3, Learned: testState(5).Learned})
	if err != nil {
		t.Fatal(err)
	}
	disk.err = syscall.EIO
	disk.names["dir/"+GenerationFiles[1]] = &inode{data: b}
	if _, result := OpenStore(Dir("dir").withFileSystem(disk), testOwner); result.State == nil || len(result.Warnings) > 0 {
		t.Errorf("got %+v", result)
	}
}
