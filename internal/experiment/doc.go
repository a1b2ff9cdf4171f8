// Package experiment compares policies by paired differences between simulated runs. It determines which runs are still
// needed and evaluates the results. Only Store does I/O; it keeps the results in a file.
package experiment
