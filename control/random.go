package control

import "math/bits"

// Chance and hashes: the only sources of ties and of orders shared by all routers.

// pcg is a permuted congruential generator (XSH-RR 64/32).
type pcg uint64

func (p *pcg) below(n int) int {
	old := uint64(*p)
	*p = pcg(old*6364136223846793005 + 1442695040888963407)
	word := bits.RotateLeft32(uint32((old>>18^old)>>27), -int(old>>59))
	return int(uint64(word) * uint64(n) >> 32)
}

// uniform spreads two ids over (0, 1].
func uniform(a, b uint64) float64 { return (float64(hash(a, b)>>11) + 1) / (1 << 53) }

// hash scrambles two ids into one evenly spread number (the finaliser of SplitMix64).
func hash(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
