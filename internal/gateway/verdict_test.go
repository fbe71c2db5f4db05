package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConclude guards against an end that is believed although nothing shows that the answer
// is complete, and against one that is not believed without need.
func TestConclude(t *testing.T) {
	end := time.Now()
	after, before := end.Add(time.Millisecond), end.Add(-time.Millisecond)
	for name, test := range map[string]struct {
		evidence evidence
		verdict  verdict
	}{
		"length":              {evidence{framing: framedByLength, endedAt: end, stopsAt: before}, confirmed},
		"chunks":              {evidence{framing: framedByChunks, endedAt: end, stopsAt: before}, confirmed},
		"length, late stream": {evidence{framing: framedByLength, endedAt: end, stopsAt: end, stream: true}, overdue},
		"chunks, late stream": {evidence{framing: framedByChunks, endedAt: end, stopsAt: before, stream: true}, overdue},
		"chunks, stream":      {evidence{framing: framedByChunks, endedAt: end, stopsAt: after, stream: true}, confirmed},
		"same process":        {evidence{framedByConnection, end, after, serverCheck{sameProcess, end}, 0, true}, confirmed},
		"same server":         {evidence{framedByConnection, end, after, serverCheck{sameServer, after}, 0, true}, confirmed},
		"same server, late":   {evidence{framedByConnection, end, after, serverCheck{sameServer, after}, serverCheckTimeout + 1, true}, unconfirmed},
		"listens":             {evidence{framedByConnection, end, after, serverCheck{listens, after}, 0, true}, confirmed},
		"listens, late":       {evidence{framedByConnection, end, after, serverCheck{listens, after}, serverCheckTimeout + 1, true}, unconfirmed},
		"same process, late":  {evidence{framedByConnection, end, after, serverCheck{sameProcess, after}, time.Hour, true}, confirmed},
		"restarted":           {evidence{framedByConnection, end, after, serverCheck{restarted, after}, 0, true}, crashed},
		"other server":        {evidence{framedByConnection, end, after, serverCheck{otherServer, after}, 0, true}, crashed},
		"gone":                {evidence{framedByConnection, end, after, serverCheck{gone, after}, 0, true}, crashed},
		"silent":              {evidence{framedByConnection, end, after, serverCheck{silentServer, after}, 0, true}, unconfirmed},
		"unidentified":        {evidence{framedByConnection, end, after, serverCheck{unidentified, after}, 0, true}, unconfirmed},
		"not asked":           {evidence{framedByConnection, end, after, serverCheck{}, 0, true}, unconfirmed},
		"asked before":        {evidence{framedByConnection, end, after, serverCheck{sameProcess, before}, 0, true}, unconfirmed},
		"gone before":         {evidence{framedByConnection, end, after, serverCheck{gone, before}, 0, true}, unconfirmed},
		"at the deadline":     {evidence{framedByConnection, end, end, serverCheck{sameProcess, after}, 0, true}, overdue},
		"after the deadline":  {evidence{framedByConnection, end, before, serverCheck{sameProcess, after}, 0, true}, overdue},
		"deadline, and gone":  {evidence{framedByConnection, end, before, serverCheck{gone, after}, 0, true}, overdue},
		"no deadline is late": {evidence{framedByConnection, end, time.Time{}, serverCheck{sameProcess, after}, 0, true}, overdue},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(conclude(test.evidence), test.verdict)
		})
	}
}

// TestCompareIdentity guards against another server, or another process of the same one,
// that is taken for the one that sent an answer.
func TestCompareIdentity(t *testing.T) {
	sent := time.Now()
	before, after := sent.Add(-startMargin-time.Millisecond), sent.Add(-startMargin+time.Millisecond)
	for name, test := range map[string]struct {
		known, stated Identity
		found         finding
	}{
		"same":                         {Identity{Server: "a", Incarnation: 1}, Identity{Server: "a", Incarnation: 1}, sameProcess},
		"same start, no id":            {Identity{Server: "a", Incarnation: 1}, Identity{Server: "", Incarnation: 1}, sameProcess},
		"restarted":                    {Identity{Server: "a", Incarnation: 1}, Identity{Server: "a", Incarnation: 2}, restarted},
		"restarted before the request": {Identity{Server: "a", Incarnation: 1}, Identity{Incarnation: 2, StartedAt: before}, sameServer},
		"restarted at the request":     {Identity{Server: "a", Incarnation: 1}, Identity{Incarnation: 2, StartedAt: after}, restarted},
		"another id, started before":   {Identity{Server: "a", Incarnation: 1}, Identity{Server: "b", Incarnation: 2, StartedAt: before}, otherServer},
		"restarted, no id":             {Identity{Server: "a", Incarnation: 1}, Identity{Server: "", Incarnation: 2}, restarted},
		"another id":                   {Identity{Server: "a", Incarnation: 1}, Identity{Server: "b", Incarnation: 2}, otherServer},
		"another id, same start":       {Identity{Server: "a", Incarnation: 1}, Identity{Server: "b", Incarnation: 1}, otherServer},
		"another id, no start":         {Identity{Server: "a", Incarnation: 1}, Identity{Server: "b", Incarnation: 0}, otherServer},
		"states no start":              {Identity{Server: "a", Incarnation: 1}, Identity{Server: "a", Incarnation: 0}, sameServer},
		"start is not known":           {Identity{Server: "a", Incarnation: 0}, Identity{Server: "a", Incarnation: 2}, sameServer},
		"start is not known, or id":    {Identity{Server: "a", Incarnation: 0}, Identity{Server: "", Incarnation: 2}, unidentified},
		"states nothing":               {Identity{Server: "a", Incarnation: 1}, Identity{}, unidentified},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(compareIdentity(test.known, test.stated, sent), test.found)
		})
	}
}
