package entry

// Headers between callers and the router.
const (
	// RequestHeader carries the request id in every answer.
	RequestHeader = "Hawthornwick-Request"
	// ClassHeader names the class of a request; optional.
	ClassHeader = "Hawthornwick-Class"
	// ResultHeader carries the result code of a refusal or failure.
	ResultHeader = "Hawthornwick-Result"
	// NotRunHeader is "true" if the request is proved not to have run, else "false".
	NotRunHeader = "Hawthornwick-Not-Run"
	// IdempotencyHeader carries the caller's idempotency key.
	IdempotencyHeader = "Idempotency-Key"
)
