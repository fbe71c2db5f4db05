package engineapi

import "github.com/cespare/xxhash/v2"

const (
	prefixBlockBytes = 512
	maxPrefixBlocks  = 64
)

// Prefixes returns the digests of a prompt's block-aligned prefixes, shortest
// first. The prompt is the raw JSON of "messages" or "prompt". The router and the
// engines must use the same function, so that the router can match cache events to
// requests. A prompt shorter than one block has no prefixes.
func Prefixes(prompt []byte) []uint64 {
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	digests := make([]uint64, 0, blocks)
	running := xxhash.New()
	for i := range blocks {
		_, _ = running.Write(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		digests = append(digests, running.Sum64())
	}
	return digests
}
