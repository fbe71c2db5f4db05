package platform

import (
	"context"
	"fmt"

	"golang.org/x/time/rate"
)

const weightChunkBytes = 64 << 20

// WeightStore simulates the loading of model weights at a limited rate, which
// concurrent loads share. It is safe for concurrent use.
type WeightStore struct {
	limit *rate.Limiter
}

// NewWeightStore returns a store with a rate limit in bytes per second.
func NewWeightStore(bytesPerSecond int64) *WeightStore {
	return &WeightStore{limit: rate.NewLimiter(rate.Limit(bytesPerSecond), weightChunkBytes)}
}

// Load returns when n bytes were loaded, or with an error when ctx ends first.
func (w *WeightStore) Load(ctx context.Context, n int64) error {
	for read := int64(0); read < n; read += weightChunkBytes {
		step := min(weightChunkBytes, n-read)
		if err := w.limit.WaitN(ctx, int(step)); err != nil {
			return fmt.Errorf("load weights after %d of %d bytes: %w", read, n, err)
		}
	}
	return nil
}
