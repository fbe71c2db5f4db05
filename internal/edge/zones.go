package edge

import (
	"maps"
	"slices"
)

// drainedZones are the availability zones that operators drained. It is not safe for concurrent
// use.
type drainedZones struct {
	stored map[string]bool // as the rows say
	kept   map[string]bool // drained before the store was restored; the rows may lack it still
}

func newDrainedZones() *drainedZones {
	return &drainedZones{stored: map[string]bool{}, kept: map[string]bool{}}
}

// clear forgets the rows before all of them are set again. If keep is true, the store was restored
// and the zones stay drained until settle.
func (z *drainedZones) clear(keep bool) {
	if keep {
		maps.Copy(z.kept, z.stored)
	} else {
		clear(z.kept)
	}
	clear(z.stored)
}

// set applies a row that has changed.
func (z *drainedZones) set(zone string, drained bool) {
	delete(z.kept, zone)
	if !drained {
		delete(z.stored, zone)
		return
	}
	z.stored[zone] = true
}

// settle ends the time in which rows are written again. It returns the zones that are no longer
// drained.
func (z *drainedZones) settle() []string {
	before := z.names()
	clear(z.kept)
	return slices.DeleteFunc(before, z.has)
}

func (z *drainedZones) has(zone string) bool { return z.stored[zone] || z.kept[zone] }

// names returns the drained zones in order.
func (z *drainedZones) names() []string {
	all := maps.Clone(z.stored)
	maps.Copy(all, z.kept)
	return slices.Sorted(maps.Keys(all))
}
