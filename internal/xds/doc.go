// Package xds follows a control plane by Envoy's discovery protocols, and serves a router's own view by them.
//
// Client is aggregated discovery (ADS) of clusters (CDS) and endpoints (EDS), state of the world or incremental (delta);
// SecretClient is secret discovery (SDS), LoadReporter load reporting (LRS). All three are free of I/O and clocks; Transport
// carries their messages over gRPC. View is a control plane with one cluster: what this router sees of its servers.
package xds
