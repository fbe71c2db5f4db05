package faultmatrix

import "github.com/hawthornwick/hawthornwick/internal/result"

// Scenarios of the request path; each names a function of the tests.
const (
	scenarioPath = "path" // a fault at a step of a request, through whole instances
)

// rulesImpossible come first: they say why a fault cannot meet a step.
var rulesImpossible = []rule{
	{steps: pathSteps, faults: []Fault{LeaseLapse},
		impossible: "no step of a request needs a lease"},
	{steps: dutySteps, faults: []Fault{ServerCrash, CrossedAnswer, ColdTurn, CrashRequest},
		impossible: "the step exchanges nothing with a backend server that runs requests"},
	{steps: dutySteps, faults: []Fault{KeyWithdrawn},
		impossible: "the step uses no caller's key; a withdrawal as a change of configuration is the row of the fault \"duplicate\" and \"store down\" there"},
	{steps: without(dutySteps, orderSteps...), faults: []Fault{ZoneOut, Reclaim},
		impossible: "the step concerns no backend server"},
	{steps: []Step{LeaseAcquire, LeaseRelease}, faults: []Fault{LeaseLapse},
		impossible: "the lease is not yet, or no longer, held"},
	{steps: slicesOf(configSteps, Membership), faults: []Fault{LeaseLapse},
		impossible: "the step needs no lease: a commit is a compare-and-set, spreading is idempotent"},
	{steps: beforeTarget, faults: []Fault{ServerCrash, ColdTurn, Reclaim},
		impossible: "no backend server is chosen yet: routing sees the new state"},
	{steps: []Step{Key, Class, Admission, Queue, Routing, LedgerInsert, Connect}, faults: []Fault{CrashRequest},
		impossible: "no backend server has read the request yet"},
	{steps: []Step{LedgerComplete, UsageAdd}, faults: []Fault{ServerCrash, CrashRequest, ColdTurn, Reclaim},
		impossible: "the whole answer has arrived; the backend server takes no further part"},
	{steps: without(pathSteps, FirstByte, Stream, EndOfStream), faults: []Fault{CrossedAnswer},
		impossible: "the step reads no answer of a backend server"},
	{steps: []Step{Key, Class, Admission, Queue, Routing, Connect, UsageAdd}, faults: []Fault{LostReply},
		impossible: "the step has no effect outside the process whose reply could be lost"},
	{steps: []Step{Admission, Queue, Routing, UsageAdd}, faults: []Fault{Silence, Slow},
		impossible: "the step waits for no connection"},
	{steps: without(pathSteps, ledgerSteps...), faults: []Fault{Race},
		impossible: "one goroutine runs a request; two submissions under one idempotency key meet at the ledger"},
}

// rulesPath are the cells that run.
var rulesPath = []rule{
	{steps: pathSteps, faults: []Fault{Duplicate}, scenario: scenarioPath,
		sees:  "the stored answer, or that the request still runs; never a second run",
		codes: []result.Code{result.AlreadyRunning, result.WillNotRunAgain, result.OutcomeUnknown}},
	{steps: pathSteps, faults: []Fault{KeyWithdrawn}, scenario: scenarioPath,
		sees:  "a refusal before the answer, or an error event that ends the stream, within two seconds",
		codes: []result.Code{result.KeyWithdrawn, result.StreamKeyLapsed, result.OutcomeUnknown}},
	{steps: ledgerSteps, faults: []Fault{StoreDown, StoreSlow, LostReply, Race, Silence, Slow}, scenario: scenarioPath,
		sees:  "a non-idempotent request gets its answer or a refusal; it runs at most once; idempotent requests are served",
		codes: []result.Code{result.LedgerUnavailable, result.AlreadyRunning, result.WillNotRunAgain, result.OutcomeUnknown, result.QueueTimeout}},
	{steps: pathSteps, faults: []Fault{StoreDown, StoreSlow}, scenario: scenarioPath,
		sees: "the whole answer; only non-idempotent requests are refused", codes: []result.Code{result.LedgerUnavailable}},
	{steps: pathSteps, faults: []Fault{InstanceCrash}, scenario: scenarioPath,
		sees:  "a lost connection; a resend through another instance gets the answer, or that a non-idempotent request will not run again",
		codes: []result.Code{result.AlreadyRunning, result.WillNotRunAgain, result.OutcomeUnknown, result.InstanceDraining}},
	{steps: pathSteps, faults: []Fault{InstancePause}, scenario: scenarioPath,
		sees:  "the answer after the pause, or a refusal",
		codes: []result.Code{result.ConfigurationStale, result.DeadlineHopeless, result.QueueTimeout, result.AttemptTimeout, result.OutcomeUnknown}},
	{steps: pathSteps, faults: []Fault{ZoneOut}, scenario: scenarioPath,
		sees: "the whole answer; what runs in the zone ends there, new work goes elsewhere"},
	{steps: slicesOf(onServer, Routing, LedgerInsert), faults: []Fault{ServerCrash, Silence, Slow, ColdTurn, Reclaim}, scenario: scenarioPath,
		sees:  "the whole answer of an idempotent request, from another backend server if need be; a non-idempotent one may end as unknown",
		codes: []result.Code{result.OutcomeUnknown, result.RetryBudgetSpent, result.NoBackendServer}},
	{steps: afterSend, faults: []Fault{LostReply, CrossedAnswer}, scenario: scenarioPath,
		sees:  "the whole answer of an idempotent request; a non-idempotent one ends as unknown and does not run again",
		codes: []result.Code{result.OutcomeUnknown}},
	{steps: afterSend, faults: []Fault{CrashRequest}, scenario: scenarioPath,
		sees: "a refusal after two crashes; other requests are served", codes: []result.Code{result.RequestQuarantined}},
	{steps: []Step{Key, Class}, faults: []Fault{Silence, Slow}, scenario: scenarioPath,
		sees: "the whole answer; a backend server that turned silent or slow before it was chosen is found out by the first attempt"},
}
