package engineapi

import "github.com/cespare/xxhash/v2"

const (
	// PrefixBlockBytes is the length of prompt text that one prefix block covers.
	PrefixBlockBytes = 512
	// MaxPrefixBlocks bounds the digests computed per prompt.
	MaxPrefixBlocks = 64
)

// PrefixDigests returns a digest for each leading run of whole blocks of the
// prompt's raw JSON text, shortest first. Each digest covers all blocks before
// it, so that equal digests mean equal prefixes. Engines report the same
// digests in cache events.
func PrefixDigests(prompt []byte) []uint64 {
	blocks := min(len(prompt)/PrefixBlockBytes, MaxPrefixBlocks)
	digests := make([]uint64, 0, blocks)
	var h xxhash.Digest
	h.Reset()
	for i := range blocks {
		_, _ = h.Write(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		digests = append(digests, h.Sum64())
	}
	return digests
}
