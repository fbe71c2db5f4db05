package timeline

import (
	"bufio"
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"
)

const textTimeLayout = "15:04:05.000000"

// WriteText writes events as text, one per line: time, instance, kind and the fields
// that are set.
func WriteText(w io.Writer, events []Event) error {
	out := bufio.NewWriter(w)
	for _, e := range events {
		fmt.Fprintf(out, "%s %-12s %-18s%s\n", e.Time.UTC().Format(textTimeLayout), e.Instance, e.Kind, fields(e))
	}
	return out.Flush()
}

// headFields is the number of leading fields of Event that every event sets.
const headFields = 4

func fields(e Event) string {
	var b strings.Builder
	v := reflect.ValueOf(e)
	for i := headFields; i < v.NumField(); i++ {
		if v.Field(i).IsZero() {
			continue
		}
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		fmt.Fprintf(&b, " %s=%s", name, fieldText(v.Field(i).Interface()))
	}
	return b.String()
}

func fieldText(value any) string {
	switch v := value.(type) {
	case time.Time:
		return v.UTC().Format(textTimeLayout)
	case string:
		if strings.ContainsAny(v, " \t\n\"=") {
			return fmt.Sprintf("%q", v)
		}
		return v
	}
	return fmt.Sprint(value)
}
