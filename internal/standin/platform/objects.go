package platform

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"

	api "github.com/hawthornwick/hawthornwick/internal/platform"
)

type objects struct {
	mu   sync.Mutex
	data map[string][]byte
}

func (o *objects) init() { o.data = make(map[string][]byte) }

// objectsCaller implements api.Objects for one caller.
type objectsCaller struct{ *Caller }

// Put implements api.Objects.
func (c objectsCaller) Put(ctx context.Context, name string, data []byte) error {
	_, err := call(ctx, c.Caller, ObjectsInterface, cost{}, func() (struct{}, error) {
		c.count(Counts{WriteCalls: 1, WriteRows: 1, Bytes: int64(len(data))})
		c.p.objects.mu.Lock()
		defer c.p.objects.mu.Unlock()
		c.p.objects.data[name] = bytes.Clone(data)
		return struct{}{}, nil
	})
	return err
}

// Get implements api.Objects.
func (c objectsCaller) Get(ctx context.Context, name string) ([]byte, error) {
	return call(ctx, c.Caller, ObjectsInterface, cost{}, func() ([]byte, error) {
		c.p.objects.mu.Lock()
		defer c.p.objects.mu.Unlock()
		data, ok := c.p.objects.data[name]
		c.count(Counts{ReadCalls: 1, ReadRows: 1, Bytes: int64(len(data))})
		if !ok {
			return nil, api.ErrNotFound
		}
		return bytes.Clone(data), nil
	})
}

// List implements api.Objects.
func (c objectsCaller) List(ctx context.Context, prefix string) ([]string, error) {
	return call(ctx, c.Caller, ObjectsInterface, cost{}, func() ([]string, error) {
		c.p.objects.mu.Lock()
		defer c.p.objects.mu.Unlock()
		var names []string
		for name := range c.p.objects.data {
			if strings.HasPrefix(name, prefix) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		c.count(Counts{ReadCalls: 1, ReadRows: int64(max(1, len(names)))})
		return names, nil
	})
}

// Delete implements api.Objects.
func (c objectsCaller) Delete(ctx context.Context, name string) error {
	_, err := call(ctx, c.Caller, ObjectsInterface, cost{}, func() (struct{}, error) {
		c.count(Counts{WriteCalls: 1, WriteRows: 1})
		c.p.objects.mu.Lock()
		defer c.p.objects.mu.Unlock()
		delete(c.p.objects.data, name)
		return struct{}{}, nil
	})
	return err
}

func (c objectsCaller) count(n Counts) { c.p.counts.add(c.name, ObjectsInterface, n) }
