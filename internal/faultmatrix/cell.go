// Package faultmatrix defines the expected outcome of every fault at every step of
// the request path and of the control duties. Its tests run the real code for each
// cell; docs/FAULTS.md is generated from the same table.
package faultmatrix

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// Step names a step of the request path or of a duty.
type Step string

// Steps of the request path.
const (
	Key            Step = "key"
	Class          Step = "class"
	Admission      Step = "admission"
	Queue          Step = "queue"
	Routing        Step = "routing"
	LedgerInsert   Step = "ledger insert"
	Connect        Step = "connect"
	Send           Step = "send"
	FirstByte      Step = "first byte"
	Stream         Step = "stream"
	EndOfStream    Step = "end of stream"
	LedgerComplete Step = "ledger complete"
	UsageAdd       Step = "usage add"
)

// Steps of the duties.
const (
	LeaseAcquire Step = "lease acquire"
	LeaseRenew   Step = "lease renew"
	LeaseRelease Step = "lease release"
	OrderIntent  Step = "order intent"
	OrderSend    Step = "order send"
	OrderOutcome Step = "order outcome"
	UsageFreeze  Step = "usage freeze"
	UsageReport  Step = "usage report"
	ConfigCommit Step = "configuration commit"
	ConfigSpread Step = "configuration spread"
	ConfigApply  Step = "configuration apply"
	Membership   Step = "membership"
)

// Fault names a kind of fault.
type Fault string

// Faults.
const (
	InstanceCrash Fault = "instance crash"
	InstancePause Fault = "instance pause"
	ServerCrash   Fault = "server crash"
	Silence       Fault = "silence"
	Slow          Fault = "slow"
	LostReply     Fault = "lost reply after effect"
	Duplicate     Fault = "duplicate"
	CrossedAnswer Fault = "crossed answer"
	StoreDown     Fault = "store down"
	StoreSlow     Fault = "store slow"
	LeaseLapse    Fault = "lease lapse"
	Race          Fault = "race"
	KeyWithdrawn  Fault = "key withdrawn"
	ZoneOut       Fault = "zone out"
	ColdTurn      Fault = "cold turn"
	Reclaim       Fault = "reclaim"
	CrashRequest  Fault = "crash-causing request"
	ServerLeaves  Fault = "server states that it leaves"
	ServerPauses  Fault = "server asks for a pause"
	ServerLimits  Fault = "server names a rate limit"
)

// Groups of steps.
var (
	beforeTarget = []Step{Key, Class, Admission, Queue}
	onServer     = []Step{Connect, Send, FirstByte, Stream, EndOfStream}
	afterSend    = []Step{Send, FirstByte, Stream, EndOfStream}
	ledgerSteps  = []Step{LedgerInsert, LedgerComplete}
	leaseSteps   = []Step{LeaseAcquire, LeaseRenew, LeaseRelease}
	orderSteps   = []Step{OrderIntent, OrderSend, OrderOutcome}
	usageSteps   = []Step{UsageFreeze, UsageReport}
	configSteps  = []Step{ConfigCommit, ConfigSpread, ConfigApply}
	pathSteps    = []Step{Key, Class, Admission, Queue, Routing, LedgerInsert, Connect, Send, FirstByte, Stream, EndOfStream, LedgerComplete, UsageAdd}
	dutySteps    = slices.Concat(leaseSteps, orderSteps, usageSteps, configSteps, []Step{Membership})
	allSteps     = slices.Concat(pathSteps, dutySteps)
)

var allFaults = []Fault{
	InstanceCrash, InstancePause, ServerCrash, Silence, Slow, LostReply, Duplicate, CrossedAnswer,
	StoreDown, StoreSlow, LeaseLapse, Race, KeyWithdrawn, ZoneOut, ColdTurn, Reclaim, CrashRequest,
	ServerLeaves, ServerPauses, ServerLimits,
}

// Cell is one fault, or a pair of faults, at one step.
type Cell struct {
	Step  Step
	Fault Fault
	// With is a second fault injected at the same time. Empty means a single fault.
	With Fault
	// UserSees describes the outcome for callers or operators.
	UserSees string
	// Codes are the result codes with which a request may end. Empty means none.
	Codes []result.Code
	// Scenario names the test that runs the cell. Empty means that no test does.
	Scenario string
	// Impossible is the reason why the cell cannot occur. Empty means that it can.
	Impossible string
	// Missing is the reason why the cell has no test yet.
	Missing string
}

// Name identifies the cell in test output and in KNOWN-RED.txt.
func (c Cell) Name() string {
	name := fmt.Sprintf("%s/%s", c.Step, c.Fault)
	if c.With != "" {
		name += "+" + string(c.With)
	}
	return strings.ReplaceAll(name, " ", "_")
}

func (c Cell) has(f Fault) bool { return c.Fault == f || c.With == f }

// Covered reports whether the cell has a scenario or a reason for having none.
func (c Cell) Covered() bool { return c.Scenario != "" || c.Impossible != "" || c.Missing != "" }

// rule defines the cells of all combinations of its steps and faults.
type rule struct {
	steps      []Step
	faults     []Fault
	userSees   string
	codes      []result.Code
	scenario   string
	impossible string
	missing    string
}

func (r rule) matches(s Step, f Fault) bool {
	return slices.Contains(r.steps, s) && slices.Contains(r.faults, f)
}

// pairRule defines the cells of all pairs of its faults at each of its steps.
type pairRule struct {
	steps    []Step
	faults   []Fault
	userSees string
	codes    []result.Code
	scenario string
	missing  string
}

// Table returns every cell: each fault at each step, then the pairs.
func Table() []Cell {
	var cells []Cell
	for _, s := range allSteps {
		for _, f := range allFaults {
			cells = append(cells, single(s, f))
		}
	}
	for _, r := range pairRules {
		cells = append(cells, r.cells()...)
	}
	return cells
}

// single returns the cell of the first rule that matches.
func single(s Step, f Fault) Cell {
	c := Cell{Step: s, Fault: f}
	for _, r := range rules {
		if r.matches(s, f) {
			c.UserSees, c.Codes, c.Scenario, c.Impossible, c.Missing = r.userSees, r.codes, r.scenario, r.impossible, r.missing
			return c
		}
	}
	return c
}

func (r pairRule) cells() []Cell {
	var cells []Cell
	for _, s := range r.steps {
		for i, first := range r.faults {
			for _, second := range r.faults[i+1:] {
				cells = append(cells, Cell{Step: s, Fault: first, With: second, UserSees: r.userSees, Codes: r.codes, Scenario: r.scenario, Missing: r.missing})
			}
		}
	}
	return cells
}
