package main

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/scheduler"
)

const (
	targetOrganisations = 2000
	targetKeys          = 2 * targetOrganisations
	targetModels        = 28
	targetServers       = 12_000
	targetZones         = 10
	targetTiers         = 7
	// maxControlHeapBytes is the memory budget of a node for the state of admission
	// and routing.
	maxControlHeapBytes = 64 << 20
)

func targetSnapshot() *config.Snapshot {
	var c config.Config
	for i := range targetOrganisations {
		c.Organisations = append(c.Organisations, config.Organisation{Name: fmt.Sprint("organisation-", i)})
	}
	for i := range targetTiers {
		c.Classes = append(c.Classes, config.Class{Name: fmt.Sprint("class-", i), Tier: i + 1})
	}
	for i := range targetModels {
		c.Models = append(c.Models, config.Model{Name: fmt.Sprint("model-", i), Class: "class-0", ColdLimit: 1, WarmLimit: 32})
	}
	for i := range targetZones {
		c.Zones = append(c.Zones, config.Zone{Name: fmt.Sprint("zone-", i)})
	}
	keys := make(map[config.KeyDigest]config.KeyState)
	for i := range targetKeys {
		keys[config.DigestKey(fmt.Sprint(i))] = config.KeyState{Organisation: fmt.Sprint("organisation-", i%targetOrganisations)}
	}
	return config.NewSnapshot(1, "", c, keys, nil)
}

func targetServerList(n int) []platform.Server {
	servers := make([]platform.Server, 0, n)
	for i := range n {
		servers = append(servers, platform.Server{
			Name: fmt.Sprintf("server-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			Zone: fmt.Sprint("zone-", i%targetZones), Model: fmt.Sprint("model-", i%targetModels), Epoch: 1, State: platform.ServerRunning,
		})
	}
	return servers
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestSchedulerMemory checks that the state of admission and routing for every
// server of the target size stays within the memory budget of a node.
func TestSchedulerMemory(t *testing.T) {
	for _, n := range []int{20, 200, targetServers} {
		before := heapBytes()
		s := scheduler.New(scheduler.Options{Instance: "i0", Zone: "zone-0"})
		s.SetConfig(targetSnapshot())
		s.SetMembers([]string{"i0"}, time.Now())
		servers := targetServerList(n)
		s.SetServers(servers)
		for _, server := range servers {
			s.LoadReport(server.Name, engineapi.LoadReport{Epoch: 1, Running: 1, UnixMillis: time.Now().UnixMilli()})
		}
		used := int64(heapBytes()) - int64(before)
		t.Logf("%d servers, %d organisations, %d keys: %.1f MiB", n, targetOrganisations, targetKeys, float64(used)/(1<<20))
		if used > maxControlHeapBytes {
			t.Errorf("%d servers use %d bytes, want at most %d", n, used, maxControlHeapBytes)
		}
		runtime.KeepAlive(s)
	}
}
