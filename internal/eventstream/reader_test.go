package eventstream

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var strict = Rules{Consecutive: true, KnownFieldsOnly: true, ExtraFields: []string{"x-version"}}

// readAll returns what a reader passes on of a stream, and the error that ends it.
func readAll(stream string, rules Rules, after string) (string, error) {
	r := NewReader(strings.NewReader(stream), rules, after)
	var passed strings.Builder
	for {
		e, err := r.Next()
		if err != nil {
			return passed.String(), err
		}
		passed.Write(e.Bytes)
	}
}

const sound = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"

// TestBytesOfNoRunAreRejected guards against bytes of a faulty server that are passed on
// because a blank line ends them, and against a stream that they end as complete.
func TestBytesOfNoRunAreRejected(t *testing.T) {
	for name, rest := range map[string]string{
		"head of a second answer": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"binary bytes":            "\x00\xff\x17\n\n",
		"empty id":                "id:\ndata: c\n\n",
		"id of spaces":            "id:  \ndata: c\n\n",
		"no id":                   "data: c\n\n",
		"id goes back":            "id: 1\ndata: c\n\n",
		"same id":                 "id: 2\ndata: c\n\n",
		"id is no number":         "id: x\ndata: c\n\n",
		"negative id":             "id: -3\ndata: c\n\n",
		"id too large":            "id: 9999999999999999999\ndata: c\n\n",
		"two ids":                 "id: 3\nid: 4\ndata: c\n\n",
		"no data":                 "id: 3\n\n",
		"unknown field":           "id: 3\nfoo: 1\ndata: c\n\n",
		"comment alone":           ": ping\n\n",
		"blank line":              "\n",
		"gap":                     "id: 4\ndata: c\n\n",
		"huge gap":                "id: 900719925474\ndata: c\n\n",
		"leading zeros":           "id: 003\ndata: c\n\n",
		"id of other digits":      "id: \u0663\ndata: c\n\n",
		"long line of no field":   strings.Repeat("x", 2*bufferBytes),
		"head without a line end": "HTTP/1.1 200 OK" + strings.Repeat("a", 2*bufferBytes),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			passed, err := readAll(sound+rest, strict, "")
			var invalid *InvalidError
			is.True(errors.As(err, &invalid))
			is.Equal(passed, sound)
			is.Equal(invalid.AfterID, "2")
		})
	}
}

func TestSoundStreams(t *testing.T) {
	for name, c := range map[string]struct {
		stream, after string
		rules         Rules
	}{
		"as stated":           {stream: sound, rules: strict},
		"resumed":             {stream: "id: 13\ndata: a\n\n", after: "12", rules: strict},
		"ids with gaps":       {stream: "id: 1\ndata: a\n\nid: 7\ndata: a\n\n"},
		"field of its own":    {stream: "x-cost: 3\nid: 1\ndata: a\ntrace.id\n\n"},
		"after no number":     {stream: sound, after: "abc", rules: strict},
		"after zero":          {stream: sound, after: "0", rules: strict},
		"after zeros":         {stream: "id: 13\ndata: a\n\n", after: "0012", rules: strict},
		"run had ended":       {after: "12", rules: strict},
		"extra field first":   {stream: "x-version: 4\nid: 1\ndata: a\n\n", rules: strict},
		"comment in an event": {stream: ": ping\nid: 1\ndata: a\n\n", rules: strict},
		"several data lines":  {stream: "id: 1\ndata: a\ndata\ndata:b\n\n", rules: strict},
		"long event":          {stream: "id: 1\ndata: " + strings.Repeat("x", 3*bufferBytes) + "\n\n", rules: strict},
		"without ids":         {stream: "data: a\n\nevent: done\ndata: [DONE]\n\n: ping\n\n"},
		"ids of any form":     {stream: "id: a\ndata: a\n\nid: b\ndata: a\n\n"},
		"no event":            {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			passed, err := readAll(c.stream, c.rules, c.after)
			is.Equal(err, io.EOF)
			is.Equal(passed, c.stream)
		})
	}
}

// TestIgnoredIDsEndNoStream guards against streams that are refused for ids that nobody reads,
// and against other bytes that pass because ids are not read.
func TestIgnoredIDsEndNoStream(t *testing.T) {
	is := is.New(t)
	ids := "id: 7\ndata: a\n\nid: 7\ndata: b\n\nid\ndata: c\n\nid: x\nid: 1\ndata: d\n\n"
	r := NewReader(strings.NewReader(ids+"odd: 1\n\n"), Rules{KnownFieldsOnly: true, IgnoreIDs: true}, "")
	var passed strings.Builder
	for range 4 {
		e, err := r.Next()
		is.NoErr(err)
		is.Equal(e.ID, "")
		passed.Write(e.Bytes)
	}
	is.Equal(passed.String(), ids)
	is.Equal(r.Seen(), Seen{Events: 4})
	_, err := r.Next()
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
}

func TestSeen(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		stream, after string
		seen          Seen
	}{
		{stream: sound, seen: Seen{Events: 2, FirstID: "1", LastID: "2", LargestStep: 1}},
		{stream: "id: 7\ndata: a\n\nid: 8\ndata: a\n\n", after: "4", seen: Seen{Events: 2, FirstID: "7", LastID: "8", LargestStep: 3}},
		{stream: "data: a\n\n", seen: Seen{Events: 1}},
	} {
		r := NewReader(strings.NewReader(c.stream), Rules{}, c.after)
		for {
			if _, err := r.Next(); err != nil {
				break
			}
		}
		is.Equal(r.Seen(), c.seen)
	}
}

// TestResumedRunStartsAfterLastEvent guards against pieces that a caller receives twice
// because the server starts the run from its beginning.
func TestResumedRunStartsAfterLastEvent(t *testing.T) {
	for _, rules := range []Rules{strict, {}} {
		is := is.New(t)
		passed, err := readAll(sound, rules, "12")
		var invalid *InvalidError
		is.True(errors.As(err, &invalid))
		is.Equal(passed, "")
	}
}

// TestRunsThatLackTheirStartAreRejected guards against a stream whose first pieces are missing.
func TestRunsThatLackTheirStartAreRejected(t *testing.T) {
	for name, c := range map[string]struct{ stream, after string }{
		"starts at three":          {stream: "id: 3\ndata: a\n\n"},
		"starts at zero":           {stream: "id: 0\ndata: a\n\n"},
		"resumed, leaves one out":  {stream: "id: 14\ndata: a\n\n", after: "12"},
		"resumed after no number":  {stream: "id: 13\ndata: a\n\n", after: "12abc"},
		"resumed after too large":  {stream: "id: 2\ndata: a\n\n", after: "9999999999999999999"},
		"no event":                 {},
		"no event after no number": {after: "abc"},
		"no event after zero":      {after: "0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			passed, err := readAll(c.stream, strict, c.after)
			var invalid *InvalidError
			is.True(errors.As(err, &invalid))
			is.Equal(passed, "")
		})
	}
}

// TestUnknownFieldsAreNoAnswer guards against a second answer that a reader takes for fields
// that it doesn't know.
func TestUnknownFieldsAreNoAnswer(t *testing.T) {
	for _, rest := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "\x00\xff\x17\n\n", "id: 1\nx: y\n\n"} {
		is := is.New(t)
		passed, err := readAll(sound+rest, Rules{}, "")
		var invalid *InvalidError
		is.True(errors.As(err, &invalid))
		is.Equal(passed, sound)
	}
}

func TestUnfinishedEvents(t *testing.T) {
	is := is.New(t)
	passed, err := readAll(sound+"id: 3\nda", strict, "")
	is.Equal(err, ErrPartial)
	is.Equal(passed, sound)
	_, err = readAll("data: "+strings.Repeat("x", 2*MaxEventBytes), Rules{}, "")
	is.Equal(err, ErrTooLong)
}

// FuzzReader checks for any bytes that a prefix of them is passed on, in events whose ids
// follow one another, and that only a run with events ends as complete.
func FuzzReader(f *testing.F) {
	f.Add([]byte(sound), int64(0))
	f.Add([]byte("id: 4\ndata: a\n\nid: 5\ndata: b\n\n"), int64(3))
	f.Add([]byte(sound+"HTTP/1.1 200 OK\r\n\r\n"), int64(0))
	f.Add([]byte("id: 1\nid: 2\ndata\n\n"), int64(0))
	f.Add([]byte("id: 1\ndata\n\nid: 03\ndata\n\n"), int64(0))
	f.Add([]byte{}, int64(7))
	f.Fuzz(func(t *testing.T, stream []byte, after int64) {
		last := max(after, 0) % 1e17
		r := NewReader(bytes.NewReader(stream), strict, strconv.FormatInt(last, 10))
		at := 0
		for {
			e, err := r.Next()
			if errors.Is(err, io.EOF) && (last == 0 || at != len(stream)) {
				t.Fatalf("complete after event %d and %d bytes of %q", last, at, stream)
			}
			if err != nil {
				return
			}
			if !bytes.HasPrefix(stream[at:], e.Bytes) {
				t.Fatalf("passed on %q at byte %d of %q", e.Bytes, at, stream)
			}
			at += len(e.Bytes)
			last++
			if e.ID != strconv.FormatInt(last, 10) {
				t.Fatalf("id %q instead of %d", e.ID, last)
			}
		}
	})
}
