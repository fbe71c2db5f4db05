package platform

import (
	"context"
	"fmt"

	"golang.org/x/time/rate"
)

const weightChunk = 64 << 20 // bytes

// WeightStore hands out model weights at a limited rate, so that starts at the
// same time slow each other down.
type WeightStore struct {
	limit *rate.Limiter
}

// NewWeightStore returns a store with a limit in bytes per second.
func NewWeightStore(bytesPerSecond int64) *WeightStore {
	return &WeightStore{limit: rate.NewLimiter(rate.Limit(bytesPerSecond), weightChunk)}
}

// Load returns once n bytes were read, or when ctx ends.
func (w *WeightStore) Load(ctx context.Context, n int64) error {
	for read := int64(0); read < n; read += weightChunk {
		step := min(weightChunk, n-read)
		if err := w.limit.WaitN(ctx, int(step)); err != nil {
			return fmt.Errorf("load weights after %d of %d bytes: %w", read, n, err)
		}
	}
	return nil
}
