package platform

import (
	"context"
	"net/http/httptrace"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/guardconn"
)

// maxCallDelivery bounds the delivery of a request whose context has no deadline.
const maxCallDelivery = 2 * time.Second

// GuardWrites returns a context for one call over a connection from guardconn.Dial. The
// call runs the write check of ctx right before its request is written, and its bytes are
// not delivered once the check's result or ctx has expired. denied returns the error of
// the check if it kept the request from being written; it is called after the call.
func GuardWrites(ctx context.Context) (guarded context.Context, denied func() error) {
	var checkErr error
	permit := guardconn.NewPermit(func() guardconn.Grant {
		valid, err := RunWriteCheck(ctx)
		if err != nil {
			checkErr = err
			return guardconn.Deny()
		}
		left := maxCallDelivery
		if deadline, ok := ctx.Deadline(); ok {
			left = time.Until(deadline)
		}
		return guardconn.Allow(deliveryLimit(valid, left))
	})
	denied = func() error {
		permit.Revoke() // waits for a decision in progress
		return checkErr
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: permit.Attach}), denied
}

// deliveryLimit returns how long a request may be in transit whose write check is valid
// for the given time, without limit if zero, and whose call has the given time left.
func deliveryLimit(valid, left time.Duration) time.Duration {
	limit := max(left, time.Millisecond)
	if valid > 0 {
		limit = min(limit, valid)
	}
	return limit
}
