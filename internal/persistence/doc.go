// Package persistence stores in a directory what a gateway must know after a restart.
//
// The state file holds what the gateway has learned (State). It is written at intervals, each time over the older of two generations
// (Store), so that a crash at any point leaves the other one intact. The journal holds what was sent since the state was saved
// (Journal): an entry is durable before the attempt that it records is sent, and the next incarnation reads it (RecoveredEntries).
// Times are converted between incarnations with a clock that counts from the machine's boot (Clock).
//
// Nothing in the directory can prevent a gateway from starting: files that can't be used are reported and skipped.
package persistence
