package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is the type of an injected fault. The value is its description in the output.
type FaultKind string

// Values of FaultKind. Every fault ends within the run; faults may overlap.
const (
	KillInstance   FaultKind = "kill an instance"
	StopInstance   FaultKind = "stop an instance as planned"
	PauseInstance  FaultKind = "pause an instance"
	StoreSilent    FaultKind = "the store is silent to one instance"
	StoreOneWay    FaultKind = "the store's answers to one instance are lost"
	StoreSlow      FaultKind = "the store is slow to one instance"
	StoreReset     FaultKind = "the store's connections of one instance are reset"
	StoreDown      FaultKind = "the store is down"
	StoreCompact   FaultKind = "the store forgets its history"
	ServerReset    FaultKind = "a backend server's connections are reset"
	ServerSilent   FaultKind = "a backend server goes silent"
	ServerSlow     FaultKind = "a backend server's link is slow"
	WithdrawKey    FaultKind = "a key is withdrawn"
	ServerDraining FaultKind = "a backend server leaves"
	ReloadSettings FaultKind = "an instance is told to read its settings again"
	ServerLeaves   FaultKind = "a backend server states that it leaves, and is replaced at its address"
	ServerPauses   FaultKind = "a backend server refuses requests and asks for pauses"
	ServerLimits   FaultKind = "a backend server names a rate limit"
	StoreHeld      FaultKind = "bytes between one instance and the store arrive late"
	ServerHeld     FaultKind = "bytes to and from a backend server arrive late"
	ServerCrash    FaultKind = "a backend server's process dies and is back under its id"
	ServerReplaced FaultKind = "a backend server's process dies and another one takes its address"
	ServerStops    FaultKind = "a backend server stops right after a whole answer"
	StoreRestored  FaultKind = "the store comes back from an older copy"
)

var faultKinds = []FaultKind{
	KillInstance, StopInstance, PauseInstance, StoreSilent, StoreOneWay, StoreSlow, StoreReset, StoreDown,
	StoreCompact, ServerReset, ServerSilent, ServerSlow, WithdrawKey, ServerDraining, ReloadSettings,
}

// statementKinds are the faults in which backend servers state something about themselves.
var statementKinds = []FaultKind{ServerLeaves, ServerPauses, ServerLimits}

// heldKinds are the faults in which bytes are held back and delivered later, also after
// their sender has given up, unless it resets the connection.
var heldKinds = []FaultKind{StoreHeld, ServerHeld}

// endKinds are the faults in which the process of a backend server ends.
var endKinds = []FaultKind{ServerCrash, ServerReplaced, ServerStops}

// Fault is one fault of a plan.
type Fault struct {
	// Release is set for ServersReleased, whose Duration is its whole time.
	Release *Release

	At, Duration time.Duration
	Kind         FaultKind
	Target       int // index of the instance or backend server, modulo their number
	// Restores are set for StoreRestored, whose Duration is their total time.
	Restores []Restore
}

// Restore is one return of the store from a copy.
type Restore struct {
	Away time.Duration // time for which the store is away
	Age  time.Duration // age of the copy when the store goes away
	Then time.Duration // time until the next one
}

// String returns the line about the fault in the output.
func (f Fault) String() string {
	line := fmt.Sprintf("%5.1fs %s (%d) for %.1fs", f.At.Seconds(), f.Kind, f.Target, f.Duration.Seconds())
	for _, c := range f.Restores {
		line += fmt.Sprintf(", away %.1fs age %.1fs", c.Away.Seconds(), c.Age.Seconds())
	}
	return line
}

const (
	// No fault starts in the first quietStart or the last quietEnd of a run.
	quietStart = 2 * time.Second
	quietEnd   = 8 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 700 * time.Millisecond
	// meanStatementInterval is the same for faults of statementKinds.
	meanStatementInterval = 2 * time.Second
	// meanHeldInterval is the same for faults of heldKinds.
	meanHeldInterval = 4 * time.Second
	// meanEndInterval is the same for faults of endKinds.
	meanEndInterval  = 1500 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// meanRestoreInterval is the mean time between two series of restores of the store, and
	// maxRestores the number of restores in a series, which are at most maxRestorePause apart.
	// A copy is between minCopyAge and maxCopyAge old, and the store at most maxAway away.
	meanRestoreInterval = 8 * time.Second
	maxRestores         = 3
	maxRestorePause     = 3 * time.Second
	minCopyAge          = 500 * time.Millisecond
	maxCopyAge          = 8 * time.Second
	maxAway             = 4 * time.Second
	// quietRestores is the time at the end of a run without restores: an instance that starts
	// later finds that the others have settled.
	quietRestores = quietEnd + 4*time.Second
)

// NewPlan generates the faults of a run from its seed, in order of time. The intervals
// between their starts are exponentially distributed, so that faults overlap. Statements of
// backend servers, late bytes, ends of backend servers and restores of the store have random
// numbers of their own, which leaves the other faults of a seed as they are.
func NewPlan(seed uint64, length time.Duration, instances, servers int) []Fault {
	targets := max(instances, servers)
	plan := randomFaults(rand.New(rand.NewPCG(seed, seed)), length, meanFaultInterval, faultKinds, targets)
	stated := randomFaults(rand.New(rand.NewPCG(seed, ^seed)), length, meanStatementInterval, statementKinds, targets)
	held := randomFaults(rand.New(rand.NewPCG(^seed, seed)), length, meanHeldInterval, heldKinds, targets)
	ends := randomFaults(rand.New(rand.NewPCG(^seed, ^seed)), length, meanEndInterval, endKinds, targets)
	restores := randomRestores(rand.New(rand.NewPCG(seed, seed+1)), length)
	plan = slices.Concat(plan, stated, held, ends, restores)
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

func randomFaults(random *rand.Rand, length, meanInterval time.Duration, kinds []FaultKind, targets int) []Fault {
	var faults []Fault
	for at := quietStart; at < length-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanInterval)) {
		faults = append(faults, Fault{
			At: at, Duration: time.Duration(random.Float64() * float64(maxFaultDuration)),
			Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(targets),
		})
	}
	return faults
}

// randomRestores returns series of restores that end before the last quietRestores of a run.
func randomRestores(random *rand.Rand, length time.Duration) []Fault {
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Float64() * float64(limit)) }
	var faults []Fault
	for at := quietStart + upTo(meanRestoreInterval); at < length-quietRestores; at += time.Duration(random.ExpFloat64() * float64(meanRestoreInterval)) {
		f := Fault{At: at, Kind: StoreRestored}
		for n := 1 + random.IntN(maxRestores); n > 0; n-- {
			c := Restore{Away: upTo(maxAway), Age: minCopyAge + upTo(maxCopyAge-minCopyAge), Then: upTo(maxRestorePause)}
			if at += c.Away + c.Then; at > length-quietRestores {
				break
			}
			f.Duration += c.Away + c.Then
			f.Restores = append(f.Restores, c)
		}
		if len(f.Restores) > 0 {
			faults = append(faults, f)
		}
	}
	return faults
}
