package demand

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/order"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// minAnswers is the number of recent answers below which a class's attainment
// counts as unknown.
const minAnswers = 20

// unknownAttainment is the value that the scaler takes for no evidence.
const unknownAttainment = -1

// Observation joins the reports of all instances with the configuration and
// the platform's list. A server that no report names is idle.
func Observation(snap *config.Snapshot, servers []platform.Server, reports []Report) order.Observation {
	o := order.Observation{
		Zones:   zones(snap),
		Servers: servers,
		Busy:    busy(servers, reports),
	}
	sums := sumLines(reports)
	for _, m := range snap.Config.Models {
		o.Models = append(o.Models, model(snap, m, sums))
	}
	return o
}

func zones(snap *config.Snapshot) []order.Zone {
	list := make([]order.Zone, 0, len(snap.Config.Zones))
	for _, z := range snap.Config.Zones {
		list = append(list, order.Zone{
			Name: z.Name, Out: snap.ZoneOut(z.Name), Price: z.Price, CheapPrice: z.CheapPrice,
		})
	}
	return list
}

func busy(servers []platform.Server, reports []Report) map[string]int {
	sums := make(map[string]int, len(servers))
	for _, s := range servers {
		sums[s.Name] = 0
	}
	for _, r := range reports {
		for _, s := range r.Servers {
			sums[s.Server] += s.Running
		}
	}
	return sums
}

// lineKey is what lines are summed by.
type lineKey struct{ model, class string }

func sumLines(reports []Report) map[lineKey]Line {
	sums := make(map[lineKey]Line)
	for _, r := range reports {
		for _, l := range r.Lines {
			key := lineKey{l.Model, l.Class}
			sum := sums[key]
			sum.Queued += l.Queued
			sum.Running += l.Running
			sum.Answered += l.Answered
			sum.InTime += l.InTime
			sums[key] = sum
		}
	}
	return sums
}

func model(snap *config.Snapshot, m config.Model, sums map[lineKey]Line) order.Model {
	result := order.Model{
		Name: m.Name, MinServers: m.MinServers, MaxServers: m.MaxServers,
		Slots: m.WarmLimit, StartTime: time.Duration(m.StartTime),
	}
	for _, class := range snap.Config.Classes {
		sum, ok := sums[lineKey{m.Name, class.Name}]
		if !ok {
			continue
		}
		result.Demands = append(result.Demands, order.Demand{
			Class: class.Name, Tier: class.Tier, Cheap: class.Cheap,
			Queued: sum.Queued, Running: sum.Running, Attainment: attainment(sum),
		})
	}
	return result
}

func attainment(sum Line) float64 {
	if sum.Answered < minAnswers {
		return unknownAttainment
	}
	return float64(sum.InTime) / float64(sum.Answered)
}
