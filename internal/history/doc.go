// Package history stores how functions were used: requests, loads, answers within the latency objective and execution times, by function,
// tenant and time. The stored history covers years and takes little space.
//
// A Collector counts on the event loop and is drained into a Batch, which is converted to Rows. A Store keeps rows in a file and merges
// older ones into coarser levels. Collector, Batch and the retention rules (CompactionCutoffs) do no I/O.
package history
