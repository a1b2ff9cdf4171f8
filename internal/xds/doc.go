// Package xds implements clients of Envoy's discovery protocols (xDS), and a control plane that serves a router's own view of its
// servers.
//
// Client implements aggregated discovery (ADS) of clusters (CDS) and endpoints (EDS), in the state-of-the-world and the
// incremental (delta) variant. SecretClient implements secret discovery (SDS) and LoadReporter load reporting (LRS). These three
// do no I/O and read no clock; Transport carries their messages over gRPC. View is a control plane with a single cluster, which
// contains the servers as this router sees them.
package xds
