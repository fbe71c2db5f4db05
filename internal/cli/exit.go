package cli

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/operator"
	"github.com/hawthornwick/hawthornwick/internal/operator/client"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// Exit codes of the binary.
const (
	exitDone        = 0
	exitFailed      = 1 // the command failed
	exitInvalid     = 2 // the input is not valid; nothing changed
	exitConflict    = 3 // another change came first; nothing changed
	exitUnreachable = 4 // an instance did not answer
)

// inputError reports invalid input.
type inputError struct{ cause error }

// Error implements the error interface.
func (e *inputError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *inputError) Unwrap() error { return e.cause }

func invalidInput(format string, args ...any) error {
	return &inputError{fmt.Errorf(format, args...)}
}

// reportError prints the error and returns its exit code.
func (a *app) reportError(err error) int {
	if a.json {
		// If writing to the error stream fails, there is nowhere left to report it.
		_ = json.NewEncoder(a.Err).Encode(errorAnswer(err))
		return exitCode(err)
	}
	if faults := faultsOf(err); faults != nil {
		fmt.Fprintln(a.Err, (&config.FaultsError{Faults: faults}).Error())
		fmt.Fprintf(a.Err, "%d faults; nothing changed\n", len(faults))
		return exitCode(err)
	}
	fmt.Fprintf(a.Err, "hawthornwick: %v\n", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		parsing     *flags.Error
		input       *inputError
		address     *client.AddressError
		unreachable *client.UnreachableError
		answered    *client.AnswerError
	)
	switch {
	case errors.As(err, &parsing), errors.As(err, &input), errors.As(err, &address), faultsOf(err) != nil:
		return exitInvalid
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &answered):
		return answerExitCode(answered.Body.Code)
	}
	return exitFailed
}

func answerExitCode(c result.Code) int {
	switch c {
	case result.ConfigInvalid, result.BadRequest, result.BodyTooLarge, result.UnknownName:
		return exitInvalid
	case result.ConfigConflict:
		return exitConflict
	}
	return exitFailed
}

// faultsOf returns the faults for which a text was rejected, by the command itself or by
// an instance. It returns nil if err has none.
func faultsOf(err error) []config.Fault {
	var local *config.FaultsError
	if errors.As(err, &local) {
		return local.Faults
	}
	var answered *client.AnswerError
	if errors.As(err, &answered) {
		return answered.Body.Faults
	}
	return nil
}

// errorAnswer converts an error to the form in which instances report errors. Errors
// without a result code have code 0.
func errorAnswer(err error) operator.ErrorAnswer {
	var answered *client.AnswerError
	if errors.As(err, &answered) {
		return operator.ErrorAnswer{Error: answered.Body}
	}
	body := operator.ErrorBody{Message: err.Error(), Faults: faultsOf(err)}
	if body.Faults != nil {
		body.Code, body.Type = result.ConfigInvalid, result.ConfigInvalid.String()
		body.Message = fmt.Sprintf("the text has %d faults", len(body.Faults))
	}
	return operator.ErrorAnswer{Error: body}
}
