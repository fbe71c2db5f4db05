package dispatch

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// relay writes the attempt's answer to the caller.
func (x *exchange) relay(a *attempt) *attemptError {
	a.relaying = true
	err := x.relayAnswer(a)
	if err == nil {
		x.outcome.Server, x.outcome.Attempt = a.target.Server, a.id
	}
	return err
}

func (x *exchange) relayAnswer(a *attempt) *attemptError {
	switch {
	case x.call.Request.Plain:
		return x.relayPlain(a)
	case x.model.stream && isStream(a.response):
		return x.relayStream(a)
	case x.outcome.AnswerStarted:
		return &attemptError{code: result.StreamBroken, cause: errNotStream}
	}
	return x.relayBuffered(a)
}

// writeAnswerHeader writes the answer's status and header fields to the caller.
func (x *exchange) writeAnswerHeader(a *attempt) {
	copyAnswerHeader(x.w.Header(), a.response.Header)
	x.w.WriteHeader(a.response.StatusCode)
	x.answerStarted.Store(true)
	x.outcome.AnswerStarted = true
	x.call.Progress.Streaming()
	x.outcome.Status = a.response.StatusCode
	x.outcome.FirstByte = time.Since(x.call.Request.Arrived)
}

// relayBuffered reads a model's complete answer before it writes anything to
// the caller.
func (x *exchange) relayBuffered(a *attempt) *attemptError {
	limit := x.d.options.MaxAnswerBytes
	body, err := io.ReadAll(io.LimitReader(a.body, limit+1))
	if err != nil {
		return a.classify(err)
	}
	if int64(len(body)) > limit {
		cause := fmt.Errorf("answer exceeds the limit of %d bytes", limit)
		return &attemptError{code: result.BackendServerError, cause: cause, final: true}
	}
	x.readUsage(a, body)
	a.response.Header.Set("Content-Length", strconv.Itoa(len(body)))
	x.writeAnswerHeader(a)
	n, err := x.w.Write(body)
	x.outcome.Bytes += int64(n)
	x.outcome.Events = 1
	if err != nil {
		return &attemptError{code: result.CallerGone, cause: errors.Join(errCallerGone, err), final: true}
	}
	return nil
}

type modelAnswer struct {
	Usage *engineUsage `json:"usage"`
}

func (x *exchange) readUsage(a *attempt, body []byte) {
	var answer modelAnswer
	if a.response.StatusCode != http.StatusOK || json.Unmarshal(body, &answer) != nil || answer.Usage == nil {
		return
	}
	a.usage = Usage{InputTokens: answer.Usage.PromptTokens, OutputTokens: answer.Usage.CompletionTokens}
	x.outcome.Usage = a.usage
}

// relayPlain streams a plain service's answer to the caller.
func (x *exchange) relayPlain(a *attempt) *attemptError {
	x.writeAnswerHeader(a)
	x.unflushed = true
	buffer := make([]byte, plainCopyBufferBytes)
	for {
		n, err := a.body.Read(buffer)
		if n > 0 {
			written, writeErr := x.w.Write(buffer[:n])
			x.outcome.Bytes += int64(written)
			x.unflushed = true
			if writeErr != nil {
				return &attemptError{code: result.CallerGone, cause: errors.Join(errCallerGone, writeErr), final: true}
			}
		}
		if err == io.EOF {
			x.outcome.Events = 1
			return nil
		}
		if err != nil {
			return a.classify(err)
		}
	}
}

// flush flushes buffered bytes to the caller's connection.
func (x *exchange) flush() error {
	if !x.unflushed {
		return nil
	}
	x.unflushed = false
	err := x.control.Flush()
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// estimateUsage returns the usage of a stream for which no engine reported one.
func (x *exchange) estimateUsage() Usage {
	if x.delivered.contentEvents == 0 {
		return Usage{}
	}
	return Usage{
		InputTokens: int64(x.call.Request.InputTokens), OutputTokens: int64(x.delivered.contentEvents), Estimated: true,
	}
}
