package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// BenchmarkDecide measures one decision over 28 models, which is made every
// decideInterval.
func BenchmarkDecide(b *testing.B) {
	const models = 28
	for _, count := range []int{20, 200, 12000} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			var o Observation
			for z := range 10 {
				o.Zones = append(o.Zones, Zone{Name: fmt.Sprintf("z%d", z), Price: 1, PreemptiblePrice: 1})
			}
			for m := range models {
				load := count * 7 / models
				o.Models = append(o.Models, Model{
					Name: fmt.Sprintf("m%02d", m), MinServers: 1, MaxServers: count, Slots: 10, StartTime: time.Minute,
					Demands: []Demand{{Tier: 1, Running: load / 2, Attainment: 1}, {Tier: 5, Running: load / 2, Preemptible: true, Attainment: 1}},
				})
			}
			for s := range count {
				o.Servers = append(o.Servers, platform.Server{
					Name: fmt.Sprintf("s%05d", s), Model: fmt.Sprintf("m%02d", s%models), Zone: fmt.Sprintf("z%d", s%10),
					Preemptible: s%3 == 0, State: platform.ServerRunning,
				})
			}
			scaler := NewScaler(Policy{})
			now := time.Date(2031, 5, 4, 10, 0, 0, 0, time.UTC)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(decideInterval)
				scaler.Decide(now, o)
			}
		})
	}
}
