package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logs = `  3.1 edge-1 {"time":"2026-12-04T07:00:00Z","instance":"edge-1","sequence":1,"kind":"config.applied","version":6}
  3.1 edge-1 {"time":"2026-12-04T07:00:00.1Z","instance":"edge-1","sequence":1,"kind":"zone.out","zone":"y"}
  3.1 edge-1 {"time":"2026-12-04T07:00:00.2Z","instance":"edge-1","sequence":1,"kind":"instance.started","zone":"z"}
  3.2 edge-1 {"time":"2026-12-04T07:00:01Z","instance":"edge-1","sequence":2,"kind":"config.applied","version":7,"detail":"routes=3"}
{"time":"2026-12-04T07:00:01.5Z","instance":"edge-1","sequence":3,"kind":"server.state","server":"s1","zone":"z","state":"seen","detail":"cold=0s"}
{"time":"2026-12-04T07:00:01.6Z","instance":"edge-1","sequence":4,"kind":"server.state","server":"s2","zone":"z","state":"seen"}
{"time":"2026-12-04T07:00:01Z","instance":"edge-2","sequence":1,"kind":"config.applied","version":99}
{"time":"2026-12-04T07:00:01.7Z","instance":"edge-1","sequence":5,"kind":"usage.frozen","window":"12","organisation":"org"}
{"time":"2026-12-04T07:00:01.8Z","instance":"edge-1","sequence":6,"kind":"table.lost","subject":"operators","detail":"refused"}
{"@level":"warn","@message":"a diagnostic line","@module":"edge-1.store","@timestamp":"2026-12-04T07:00:02.500000Z"}
this is no log line
{"time":"2026-12-04T07:00:03Z","instance":"edge-1","sequence":9,"kind":"attempt.failed","request":"r1","server":"s1","zone":"z","code":4007,"detail":"EOF"}
{"time":"2026-12-04T07:00:02Z","instance":"edge-1","sequence":8,"kind":"request.received","request":"r1","organisation":"org","class":"route","service":"svc"}
{"time":"2026-12-04T07:00:03Z","instance":"edge-1","sequence":10,"kind":"request.failed","request":"r1","code":4007,"detail":"EOF"}
{"time":"2026-12-04T07:00:02Z","instance":"edge-1","sequence":7,"kind":"request.received","request":"r2"}
{"time":"2026-12-04T07:00:02.9Z","instance":"edge-1","sequence":11,"kind":"server.suspect","server":"s1","zone":"z","state":"unreached"}
{"time":"2026-12-04T07:00:02.95Z","instance":"edge-1","sequence":12,"kind":"usage.reported","window":"12","organisation":"org","duty":"control","token":3}
{"time":"2026-12-04T07:00:01.2Z","instance":"edge-1","sequence":14,"kind":"server.paused","server":"s2","zone":"z","service":"svc","duration":2000000000,"detail":"request=r0 status=503"}
{"time":"2026-12-04T07:00:01.3Z","instance":"edge-1","sequence":15,"kind":"server.leaving","server":"s3","zone":"z","service":"another","detail":"request=r0 status=200"}
{"time":"2026-12-04T07:00:09Z","instance":"edge-1","sequence":13,"kind":"server.state","server":"s1","state":"gone"}
`

func TestWrite(t *testing.T) {
	is := is.New(t)
	s := New("r1")
	is.NoErr(s.AddLog(strings.NewReader(logs)))
	is.Equal(s.MalformedLines, 1)
	var out bytes.Buffer
	found, err := s.Write(&out)
	is.NoErr(err)
	is.True(found)
	is.Equal(out.String(), `request r1: organisation "org", route "route", service "svc"
    +0.000s  edge-1  request.received
    +1.000s  edge-1  attempt.failed  server s1  zone z  result 4007 (backend_server_error), not run: false  EOF
    +1.000s  edge-1  request.failed  result 4007 (backend_server_error), not run: false  EOF
state then:
    -1.800s  edge-1  instance.started  zone z
    -1.000s  edge-1  config.applied  version 7  routes=3
    -0.800s  edge-1  server.paused  server s2  zone z  for 2s  request=r0 status=503
    -0.500s  edge-1  server.state  server s1  zone z  state seen  cold=0s
    -0.200s  edge-1  table.lost  table operators  refused
    +0.900s  edge-1  server.suspect  server s1  zone z  state unreached
    +0.950s  edge-1  usage.reported  duty control  token 3  window 12
`)
}

func TestWriteUnknownRequest(t *testing.T) {
	is := is.New(t)
	s := New("nobody")
	is.NoErr(s.AddLog(strings.NewReader(logs)))
	found, err := s.Write(&bytes.Buffer{})
	is.NoErr(err)
	is.True(!found)
}
