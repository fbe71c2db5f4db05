package faultmatrix

import "github.com/hawthornwick/hawthornwick/internal/result"

// Scenarios of the request path. The tests map each name to a function.
const (
	scenarioPath = "path" // a fault at a step of a request, with complete instances
)

// rulesImpossible take precedence. They give the reason why a fault cannot occur at
// a step.
var rulesImpossible = []rule{
	{steps: pathSteps, faults: []Fault{LeaseLapse},
		impossible: "no step of a request needs a lease"},
	{steps: dutySteps, faults: []Fault{ServerCrash, CrossedAnswer, ColdTurn, CrashRequest, ServerLeaves, ServerPauses, ServerLimits},
		impossible: "the step exchanges nothing with a backend server that runs requests"},
	{steps: dutySteps, faults: []Fault{KeyWithdrawn},
		impossible: "the step uses no caller's key; the withdrawal itself is a change of configuration, covered by the faults \"duplicate\" and \"store down\" of those steps"},
	{steps: without(dutySteps, orderSteps...), faults: []Fault{ZoneOut, Reclaim},
		impossible: "the step concerns no backend server"},
	{steps: []Step{LeaseAcquire, LeaseRelease}, faults: []Fault{LeaseLapse},
		impossible: "the lease is not yet, or no longer, held"},
	{steps: concat(configSteps, Membership), faults: []Fault{LeaseLapse},
		impossible: "the step needs no lease: a commit is a compare-and-set, and distribution is idempotent"},
	{steps: beforeTarget, faults: []Fault{ServerCrash, ColdTurn, Reclaim, ServerLeaves, ServerPauses, ServerLimits},
		impossible: "no backend server is selected yet; routing uses the new state"},
	{steps: []Step{Key, Class, Admission, Queue, Routing, LedgerInsert, Connect}, faults: []Fault{CrashRequest},
		impossible: "no backend server has received the request yet"},
	{steps: []Step{LedgerComplete, UsageAdd}, faults: []Fault{ServerCrash, CrashRequest, ColdTurn, Reclaim, ServerLeaves, ServerPauses, ServerLimits},
		impossible: "the complete answer has arrived; the backend server is no longer involved"},
	{steps: without(pathSteps, FirstByte, Stream, EndOfStream), faults: []Fault{CrossedAnswer},
		impossible: "the step reads no answer of a backend server"},
	{steps: []Step{Key, Class, Admission, Queue, Routing, Connect, UsageAdd}, faults: []Fault{LostReply},
		impossible: "the step has no effect outside the process, so there is no reply to lose"},
	{steps: []Step{Admission, Queue, Routing, UsageAdd}, faults: []Fault{Silence, Slow},
		impossible: "the step does not wait for a connection"},
	{steps: without(pathSteps, ledgerSteps...), faults: []Fault{Race},
		impossible: "one goroutine runs a request; concurrent submissions with one idempotency key contend only at the ledger"},
}

// rulesPath are the cells that can occur.
var rulesPath = []rule{
	{steps: pathSteps, faults: []Fault{Duplicate}, scenario: scenarioPath,
		userSees: "the stored answer, or a result saying that the request still runs; never a second run",
		codes:    []result.Code{result.AlreadyRunning, result.WillNotRunAgain, result.OutcomeUnknown}},
	{steps: pathSteps, faults: []Fault{KeyWithdrawn}, scenario: scenarioPath,
		userSees: "a refusal before the answer, or an error event that ends the stream, within two seconds",
		codes:    []result.Code{result.KeyWithdrawn, result.StreamKeyWithdrawn, result.OutcomeUnknown}},
	{steps: ledgerSteps, faults: []Fault{StoreDown, StoreSlow, LostReply, Race, Silence, Slow}, scenario: scenarioPath,
		userSees: "a non-idempotent request gets its answer or a refusal; it runs at most once; idempotent requests are served",
		codes:    []result.Code{result.LedgerUnavailable, result.AlreadyRunning, result.WillNotRunAgain, result.OutcomeUnknown, result.QueueTimeout}},
	{steps: pathSteps, faults: []Fault{StoreDown, StoreSlow}, scenario: scenarioPath,
		userSees: "the whole answer; only non-idempotent requests are refused", codes: []result.Code{result.LedgerUnavailable}},
	{steps: pathSteps, faults: []Fault{InstanceCrash}, scenario: scenarioPath,
		userSees: "a lost connection; a retry through another instance returns the answer, or a result saying that a non-idempotent request will not run again",
		codes:    []result.Code{result.AlreadyRunning, result.WillNotRunAgain, result.OutcomeUnknown, result.InstanceDraining}},
	{steps: pathSteps, faults: []Fault{InstancePause}, scenario: scenarioPath,
		userSees: "the answer after the pause, or a refusal",
		codes:    []result.Code{result.ConfigurationStale, result.DeadlineHopeless, result.QueueTimeout, result.AttemptTimeout, result.OutcomeUnknown}},
	{steps: pathSteps, faults: []Fault{ZoneOut}, scenario: scenarioPath,
		userSees: "the whole answer; running requests end in the drained zone, new ones are routed to other zones"},
	{steps: concat(onServer, Routing, LedgerInsert), faults: []Fault{ServerCrash, Silence, Slow, ColdTurn, Reclaim}, scenario: scenarioPath,
		userSees: "the whole answer of an idempotent request, if necessary from another backend server; the outcome of a non-idempotent one may be unknown",
		codes:    []result.Code{result.OutcomeUnknown, result.RetryBudgetSpent, result.NoBackendServer}},
	{steps: concat(onServer, Routing, LedgerInsert), faults: []Fault{ServerLeaves, ServerPauses, ServerLimits}, scenario: scenarioPath,
		userSees: "the whole answer; later requests go to other backend servers. A non-idempotent request that is turned away gets the backend server's refusal"},
	{steps: afterSend, faults: []Fault{LostReply, CrossedAnswer}, scenario: scenarioPath,
		userSees: "the whole answer of an idempotent request; the outcome of a non-idempotent one is unknown and it does not run again",
		codes:    []result.Code{result.OutcomeUnknown}},
	{steps: afterSend, faults: []Fault{CrashRequest}, scenario: scenarioPath,
		userSees: "a refusal after two crashes; other requests are served", codes: []result.Code{result.RequestQuarantined}},
	{steps: []Step{Key, Class}, faults: []Fault{Silence, Slow}, scenario: scenarioPath,
		userSees: "the whole answer; the first attempt detects a backend server that became silent or slow before it was selected"},
}
