package config

import (
	"fmt"
	"strings"
	"testing"
)

// Sizes of the largest fleet that the router is designed for.
const (
	fleetOrganisations = 2000
	fleetModels        = 28
	keysPerOrg         = 5
)

// fleetText returns the configuration of the largest fleet.
func fleetText() string {
	var b strings.Builder
	b.WriteString("organisations:\n")
	for i := range fleetOrganisations {
		fmt.Fprintf(&b, "  - {name: organisation-%d, weight: %d, class: tier-%d}\n", i, 1+i%5, 1+i%TierCount)
	}
	b.WriteString("classes:\n")
	for tier := 1; tier <= TierCount; tier++ {
		fmt.Fprintf(&b, "  - {name: tier-%d, tier: %d, floor: 0.05, first-token: 910ms, between-tokens: 53ms}\n", tier, tier)
	}
	b.WriteString("models:\n")
	for i := range fleetModels {
		fmt.Fprintf(&b, "  - {name: model-%d, class: tier-%d, max-servers: 500}\n", i, 1+i%TierCount)
	}
	b.WriteString("services:\n")
	for i := range fleetModels {
		fmt.Fprintf(&b, "  - {name: service-%d, class: tier-1, route: true, depends-on: [model-%d], servers: [{address: \"10.0.0.%d:80\", zone: zone-%d}]}\n", i, i, i+1, i%10)
	}
	b.WriteString("zones:\n")
	for i := range 10 {
		fmt.Fprintf(&b, "  - {name: zone-%d, region: region-%d}\n", i, i%4)
	}
	return b.String()
}

func fleetKeys() map[KeyDigest]KeyState {
	keys := make(map[KeyDigest]KeyState)
	for i := range fleetOrganisations {
		for k := range keysPerOrg {
			keys[DigestKey(fmt.Sprint(i, k))] = KeyState{Organisation: fmt.Sprintf("organisation-%d", i)}
		}
	}
	return keys
}

func BenchmarkCompileFleet(b *testing.B) {
	text, keys := fleetText(), fleetKeys()
	b.ReportAllocs()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := Compile(1, text, keys, nil); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSnapshotOfFleet(b *testing.B) {
	text, keys := fleetText(), fleetKeys()
	c, err := Decode("configuration", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		NewSnapshot(1, text, c, keys, nil)
	}
}
