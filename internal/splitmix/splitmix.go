// Package splitmix hashes integers such that similar inputs have unrelated hashes.
package splitmix

// Mix returns the output of the splitmix64 generator for state x.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
