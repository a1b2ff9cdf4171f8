// Package record writes the events that a core handled and the commands that it gave to segment files, and reads them back. Each segment
// begins with a header and a checkpoint of the core's whole state, so that a replay can begin at any segment.
//
// A segment consists of the magic and frames. A frame is the length and the CRC-32C of the payload (four bytes each, big-endian) and the
// payload, which is CBOR compressed with zstd. The first frame holds a Header, the second a core.Snapshot, and the others batches of
// Steps. Request and response bodies are never recorded; functions, tenants and clients' ids are recorded only as hashes (KeyedHash).
package record
