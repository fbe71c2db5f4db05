package fault

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
)

// WriteTwice writes value as the JSON response to a request. When the next
// request arrives on the same connection, it writes the response again and
// closes the connection.
func WriteTwice(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := w.Header().Clone()
	header.Set("Content-Type", "application/json")
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	if writeAnswer(c, header, body) != nil {
		return
	}
	if _, err := buffered.ReadByte(); err != nil {
		return
	}
	_ = writeAnswer(c, header, body)
}

func writeAnswer(w io.Writer, header http.Header, body []byte) error {
	answer := http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1,
		Header: header, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	return answer.Write(w)
}
