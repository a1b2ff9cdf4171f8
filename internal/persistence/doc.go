// Package persistence keeps in a directory what a gateway must know after a restart.
//
// The state file holds what was learned (State). It is written at intervals, over the older of two generations (Store), so that a
// crash at any point leaves the other one whole. The journal holds what was sent since (Journal): an entry is durable before the
// attempt that it records leaves, and the next incarnation reads it (Recovered). Times are converted between incarnations by a clock
// that counts from the machine's boot (Clock).
//
// Nothing in the directory keeps a gateway from starting. What can't be used is reported and passed over.
package persistence
