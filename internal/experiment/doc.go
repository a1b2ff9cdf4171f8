// Package experiment compares policies by paired differences over simulated runs: it decides which runs are still needed, and what
// those that were made show. It does no I/O; Store keeps the results.
package experiment
