// Package history keeps how functions were used: requests, loads, answers within the objective and execution times, by function, tenant
// and time, for months and in little room.
//
// A Collector counts on the event loop; its Batch gives Rows. A Store keeps rows in a file and merges older ones into coarser levels.
// Counting, and what is kept how long (Horizons), do no I/O.
package history
