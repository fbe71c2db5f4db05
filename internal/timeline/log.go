package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// Log is the content of a process's log.
type Log struct {
	Events []Event
	// OtherLines is the number of lines that are JSON objects but not events.
	OtherLines int
	// MalformedLines is the number of lines without a valid JSON object, such as the last
	// line of a process that was killed.
	MalformedLines int
}

// ReadLog reads the events in a log. Text before the first brace of a line, such as
// a timestamp added by a log collector, is skipped.
func ReadLog(r io.Reader) (Log, error) {
	var l Log
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		l.addLine(lines.Bytes())
	}
	if err := lines.Err(); err != nil {
		return l, fmt.Errorf("read log: %w", err)
	}
	return l, nil
}

func (l *Log) addLine(line []byte) {
	start := bytes.IndexByte(line, '{')
	var e Event
	if start < 0 || json.Unmarshal(line[start:], &e) != nil {
		l.MalformedLines++
		return
	}
	if e.Kind == "" {
		l.OtherLines++
		return
	}
	l.Events = append(l.Events, e)
}
