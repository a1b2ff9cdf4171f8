package control

import "math/bits"

// This file holds the random generator that breaks ties, and the hash from which the server orders that all routers
// share are computed.

// pcg is a permuted congruential generator (XSH-RR 64/32).
type pcg uint64

// intN returns a random number in [0, n).
func (p *pcg) intN(n int) int {
	old := uint64(*p)
	*p = pcg(old*6364136223846793005 + 1442695040888963407)
	word := bits.RotateLeft32(uint32((old>>18^old)>>27), -int(old>>59))
	return int(uint64(word) * uint64(n) >> 32)
}

// uniform maps two IDs to an evenly distributed number in (0, 1].
func uniform(a, b uint64) float64 { return (float64(hash(a, b)>>11) + 1) / (1 << 53) }

// hash mixes two IDs into one evenly distributed number (the SplitMix64 finalizer).
func hash(a, b uint64) uint64 {
	x := mix(a*hashFactor ^ b)
	return x ^ x>>31
}

const hashFactor = 0x9e3779b97f4a7c15

// mix is hash without its last step, which changes only the lower 33 bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return (x ^ x>>27) * 0x94d049bb133111eb
}
