package httpapi

import (
	"context"
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// tableClient implements platform.Table.
type tableClient struct{ *Client }

// Get implements platform.Table.
func (c tableClient) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	answer, err := Post[KeysRequest, RowsAnswer](ctx, c.Client, c.options.TableEndpoint+TableGetPath, KeysRequest{Keys: keys})
	if err == nil && len(answer.Rows) != len(keys) {
		return nil, fmt.Errorf("%w: got %d rows for %d keys", platform.ErrUnavailable, len(answer.Rows), len(keys))
	}
	return answer.Rows, err
}

// List implements platform.Table.
func (c tableClient) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	query := ListRequest{Prefix: prefix, After: after, Limit: limit}
	answer, err := Post[ListRequest, RowsAnswer](ctx, c.Client, c.options.TableEndpoint+TableListPath, query)
	return answer.Rows, err
}

// Commit implements platform.Table.
func (c tableClient) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	answer, err := Post[platform.Txn, CommitAnswer](ctx, c.Client, c.options.TableEndpoint+TableCommitPath, txn)
	if err == nil && len(answer.Versions) != len(txn.Writes) {
		return nil, fmt.Errorf("%w: got %d versions for %d writes", platform.ErrUnavailable, len(answer.Versions), len(txn.Writes))
	}
	return answer.Versions, err
}

// objectsClient implements platform.Objects.
type objectsClient struct{ *Client }

// Put implements platform.Objects.
func (c objectsClient) Put(ctx context.Context, name string, data []byte) error {
	query := ObjectRequest{Name: name, Data: data}
	_, err := Post[ObjectRequest, Empty](ctx, c.Client, c.options.ObjectsEndpoint+ObjectPutPath, query)
	return err
}

// Get implements platform.Objects.
func (c objectsClient) Get(ctx context.Context, name string) ([]byte, error) {
	answer, err := Post[ObjectRequest, ObjectAnswer](ctx, c.Client, c.options.ObjectsEndpoint+ObjectGetPath, ObjectRequest{Name: name})
	return answer.Data, err
}

// List implements platform.Objects.
func (c objectsClient) List(ctx context.Context, prefix string) ([]string, error) {
	answer, err := Post[ObjectRequest, NamesAnswer](ctx, c.Client, c.options.ObjectsEndpoint+ObjectListPath, ObjectRequest{Name: prefix})
	return answer.Names, err
}

// Delete implements platform.Objects.
func (c objectsClient) Delete(ctx context.Context, name string) error {
	_, err := Post[ObjectRequest, Empty](ctx, c.Client, c.options.ObjectsEndpoint+ObjectDeletePath, ObjectRequest{Name: name})
	return err
}

// serversClient implements platform.Servers.
type serversClient struct{ *Client }

// List implements platform.Servers.
func (c serversClient) List(ctx context.Context) ([]platform.Server, error) {
	answer, err := Post[Empty, ServersAnswer](ctx, c.Client, c.options.ServersEndpoint+ServerListPath, Empty{})
	return answer.Servers, err
}

// Place implements platform.Servers.
func (c serversClient) Place(ctx context.Context, o platform.Order) (platform.OrderOutcome, error) {
	return Post[platform.Order, platform.OrderOutcome](ctx, c.Client, c.options.ServersEndpoint+ServerPlacePath, o)
}

// Lookup implements platform.Servers.
func (c serversClient) Lookup(ctx context.Context, id string) (platform.OrderOutcome, error) {
	return Post[LookupRequest, platform.OrderOutcome](ctx, c.Client, c.options.ServersEndpoint+ServerLookupPath, LookupRequest{ID: id})
}

// usageClient implements platform.UsageSink.
type usageClient struct{ *Client }

// Report implements platform.UsageSink.
func (c usageClient) Report(ctx context.Context, r platform.UsageReport) error {
	_, err := Post[platform.UsageReport, Empty](ctx, c.Client, c.options.UsageEndpoint+UsageReportPath, r)
	return err
}

// instancesClient implements platform.Instances.
type instancesClient struct{ *Client }

// List implements platform.Instances.
func (c instancesClient) List(ctx context.Context) ([]platform.Instance, error) {
	answer, err := Post[Empty, InstancesAnswer](ctx, c.Client, c.options.InstancesEndpoint+InstanceListPath, Empty{})
	return answer.Instances, err
}
