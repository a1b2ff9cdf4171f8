// Package record writes the events that a core handled and the commands it gave to segment files, and reads them back. A segment begins
// with a header and a checkpoint of the whole state, so that a replay can begin at any of them.
//
// A segment is the magic bytes, then frames: length and CRC-32C of the payload (four bytes each, big-endian), then the payload, CBOR
// compressed with zstd. The first frame is a Header, the second a core.Snapshot, the others are batches of Steps. No body is ever
// recorded, and functions, tenants and clients' ids only as hashes (Tag).
package record
