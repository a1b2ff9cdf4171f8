// Package invariant checks the five invariants of routers against what crossed the sockets: records that clients and model
// servers made at their ends of the connections. It depends on no router's word, and not on the gateway or its core.
package invariant
