package dispatch

import "github.com/hawthornwick/hawthornwick/internal/result"

// refuse returns a result that promises "not run" only if it is proved that
// nothing was written.
func (x *exchange) refuse(code result.Code, format string, args ...any) *result.Error {
	if proof, ok := x.gate.Seal(); ok {
		return result.NotRun(notRunCode(code), proof, format, args...)
	}
	return result.MayHaveRun(mayHaveRunCode(code), format, args...)
}

// notRunCode maps a code that is defined as "may have run" to one that allows
// the "not run" promise.
func notRunCode(code result.Code) result.Code {
	if info, _ := code.Info(); info.Run != result.RunMaybe {
		return code
	}
	switch code {
	case result.AttemptTimeout:
		return result.DeadlineHopeless
	case result.Preempted:
		return result.NoBackendServer
	case result.StreamKeyWithdrawn:
		return result.KeyWithdrawn
	}
	return result.ConnectFailed
}

// mayHaveRunCode maps a code that is defined as "not run" to one that allows
// "may have run".
func mayHaveRunCode(code result.Code) result.Code {
	if info, _ := code.Info(); info.Run != result.RunNever {
		return code
	}
	if code == result.DeadlineHopeless {
		return result.AttemptTimeout
	}
	return result.NoBackendServer
}
