// Package invariant checks five invariants of routers against records that clients and model servers made at their ends of the
// connections. It uses no information from the routers themselves and doesn't depend on the gateway or its core.
package invariant
