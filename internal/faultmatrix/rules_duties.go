package faultmatrix

import "github.com/hawthornwick/hawthornwick/internal/result"

// Scenarios of the duties; each names a function of the tests.
const (
	scenarioLease  = "lease"  // lease holders contend for a duty and place orders
	scenarioUsage  = "usage"  // usage is metered, frozen and reported
	scenarioConfig = "config" // changes are committed and spread
	scenarioMember = "member" // instances probe each other
)

var (
	processFaults = []Fault{InstanceCrash, InstancePause}
	storeFaults   = []Fault{Silence, Slow, LostReply, Duplicate, StoreDown, StoreSlow, Race}
	moneyFaults   = []Fault{InstanceCrash, InstancePause, LostReply, Duplicate, StoreDown, StoreSlow, LeaseLapse, Race}
)

// rulesDuties are the cells of the duties.
var rulesDuties = []rule{
	{steps: leaseSteps, faults: slicesOf(processFaults, append(storeFaults, LeaseLapse)...), scenario: scenarioLease,
		sees: "the duty pauses until its lease is renewed or taken over; never two holders act"},
	{steps: orderSteps, faults: slicesOf(processFaults, append(storeFaults, LeaseLapse, ZoneOut, Reclaim)...), scenario: scenarioLease,
		sees: "an order is late; none is placed twice or by a former holder"},
	{steps: usageSteps, faults: slicesOf(processFaults, append(storeFaults, LeaseLapse)...), scenario: scenarioUsage,
		sees: "a report is late; its figures never change"},
	{steps: configSteps, faults: slicesOf(processFaults, storeFaults...), scenario: scenarioConfig,
		sees: "the change is in force everywhere within seconds, or not accepted; an instance cut off takes no new work"},
	{steps: []Step{Membership}, faults: slicesOf(processFaults, storeFaults...), scenario: scenarioMember,
		sees: "an instance is noticed or missed a few seconds later"},
}

// rules are tried in order; the first that matches holds.
var rules = func() []rule {
	var all []rule
	all = append(all, rulesImpossible...)
	all = append(all, rulesPath...)
	all = append(all, rulesDuties...)
	return all
}()

// pairRules are pairs of faults at the steps where money or a lease is at stake.
var pairRules = []pairRule{
	{steps: ledgerSteps, faults: []Fault{InstanceCrash, LostReply, Duplicate, StoreDown, StoreSlow, ServerCrash, KeyWithdrawn}, scenario: scenarioPath,
		sees:  "an answer or a refusal; at most one run",
		codes: []result.Code{result.KeyWithdrawn, result.StreamKeyLapsed, result.OutcomeUnknown, result.AlreadyRunning, result.WillNotRunAgain, result.LedgerUnavailable}},
	{steps: []Step{LeaseRenew, OrderIntent, OrderSend, OrderOutcome}, faults: moneyFaults, scenario: scenarioLease,
		sees: "an order is late; none is placed twice or by a former holder"},
	{steps: usageSteps, faults: moneyFaults, scenario: scenarioUsage,
		sees: "a report is late; its figures never change"},
}
