// Package chaostest runs scenarios against real router processes, fake model servers and clients on loopback, injects
// faults, and checks the invariants on the recorded traffic. It also measures streams of load through a router, and runs the
// same scenarios in simulated time.
package chaostest
