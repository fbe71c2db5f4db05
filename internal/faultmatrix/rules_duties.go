package faultmatrix

import "github.com/hawthornwick/hawthornwick/internal/result"

// Scenarios of the duties. The tests map each name to a function.
const (
	scenarioLease  = "lease"  // instances contend for the lease of a duty and place orders
	scenarioUsage  = "usage"  // usage is metered, frozen and reported
	scenarioConfig = "config" // configuration changes are committed and distributed
	scenarioMember = "member" // instances probe each other
)

var (
	processFaults = []Fault{InstanceCrash, InstancePause}
	storeFaults   = []Fault{Silence, Slow, LostReply, Duplicate, StoreDown, StoreSlow, Race}
	moneyFaults   = []Fault{InstanceCrash, InstancePause, LostReply, Duplicate, StoreDown, StoreSlow, LeaseLapse, Race}
)

// rulesDuties are the cells of the duties.
var rulesDuties = []rule{
	{steps: leaseSteps, faults: concat(processFaults, append(storeFaults, LeaseLapse)...), scenario: scenarioLease,
		userSees: "the duty pauses until its lease is renewed or acquired by another instance; two holders never act at the same time"},
	{steps: orderSteps, faults: concat(processFaults, append(storeFaults, LeaseLapse, ZoneOut, Reclaim)...), scenario: scenarioLease,
		userSees: "an order is late; none is placed twice or by a former holder"},
	{steps: usageSteps, faults: concat(processFaults, append(storeFaults, LeaseLapse)...), scenario: scenarioUsage,
		userSees: "a report is late; its figures never change"},
	{steps: configSteps, faults: concat(processFaults, storeFaults...), scenario: scenarioConfig,
		userSees: "the change is effective on all instances within seconds, or is not accepted; an isolated instance accepts no new requests"},
	{steps: []Step{Membership}, faults: concat(processFaults, storeFaults...), scenario: scenarioMember,
		userSees: "the arrival or failure of an instance is detected a few seconds later"},
}

// rules are evaluated in order; the first match applies.
var rules = func() []rule {
	var all []rule
	all = append(all, rulesImpossible...)
	all = append(all, rulesPath...)
	all = append(all, rulesDuties...)
	return all
}()

// pairRules are pairs of faults at the steps that affect billing, orders or leases.
var pairRules = []pairRule{
	{steps: ledgerSteps, faults: []Fault{InstanceCrash, LostReply, Duplicate, StoreDown, StoreSlow, ServerCrash, KeyWithdrawn}, scenario: scenarioPath,
		userSees: "an answer or a refusal; at most one run",
		codes:    []result.Code{result.KeyWithdrawn, result.StreamKeyWithdrawn, result.OutcomeUnknown, result.AlreadyRunning, result.WillNotRunAgain, result.LedgerUnavailable}},
	{steps: []Step{LeaseRenew, OrderIntent, OrderSend, OrderOutcome}, faults: moneyFaults, scenario: scenarioLease,
		userSees: "an order is late; none is placed twice or by a former holder"},
	{steps: usageSteps, faults: moneyFaults, scenario: scenarioUsage,
		userSees: "a report is late; its figures never change"},
}
