package port

import "github.com/cespare/xxhash/v2"

const (
	// PrefixBlockBytes is the size in bytes of the prompt blocks by which engines
	// cache prompt prefixes.
	PrefixBlockBytes = 256
	// MaxPrefixBlocks is the number of blocks in the longest prefix that is
	// hashed.
	MaxPrefixBlocks = 64
)

// PrefixHashes returns the hashes of those prefixes of a prompt that consist of
// whole blocks, the longest first. It returns at most MaxPrefixBlocks hashes.
func PrefixHashes(prompt string) []uint64 {
	blocks := min(len(prompt)/PrefixBlockBytes, MaxPrefixBlocks)
	hashes := make([]uint64, blocks)
	digest := xxhash.New()
	for i := range blocks {
		_, _ = digest.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		hashes[blocks-1-i] = digest.Sum64()
	}
	return hashes
}
