package port

import "github.com/cespare/xxhash/v2"

const (
	// PrefixBlockBytes is the size of the blocks in which engines cache
	// prompt prefixes.
	PrefixBlockBytes = 256
	// MaxPrefixBlocks bounds the prefixes that are hashed.
	MaxPrefixBlocks = 64
)

// PrefixHashes returns the hashes of a prompt's block-aligned prefixes, the
// longest first.
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
