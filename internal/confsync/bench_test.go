package confsync

import (
	"fmt"
	"testing"

	"github.com/hawthornwick/hawthornwick/internal/config"
)

// BenchmarkKeyChange measures the cost of one key change on each instance.
func BenchmarkKeyChange(b *testing.B) {
	for _, keys := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			s := newTestStore(newFakeTable(), "a")
			state := State{
				Version: 1, Text: sampleText, TextVersion: 1,
				keys: make(map[config.KeyDigest]keyRow), zones: make(map[string]zoneRow),
			}
			for i := range keys {
				state.keys[config.DigestKey(fmt.Sprint(i))] = keyRow{Version: 1, Organisation: "club"}
			}
			s.advance(state)
			b.ReportAllocs()
			for i := range b.N {
				c := Change{Version: uint64(i) + 2, Kind: ChangeKeyGrant, Key: "k", Organisation: "club"}
				if err := s.push([]Change{c}, ""); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkTextChange measures the cost of one change of a 200 KB text on each
// instance, without decoding the text.
func BenchmarkTextChange(b *testing.B) {
	const lines = 5000
	text := ""
	for i := range lines {
		text += fmt.Sprintf("  - {name: organisation-%05d, weight: 1}\n", i)
	}
	changed := text[:len(text)/2] + "#" + text[len(text)/2:]
	b.ReportAllocs()
	for b.Loop() {
		splice := NewSplice(text, changed)
		if _, err := splice.Apply(text); err != nil {
			b.Fatal(err)
		}
	}
}
