package dispatch

import "github.com/hawthornwick/hawthornwick/internal/result"

// refuse ends as not run only if it is proved that nothing was written.
func (x *exchange) refuse(code result.Code, format string, args ...any) *result.Error {
	if proof, ok := x.gate.Seal(); ok {
		return result.NotRun(neverRunCode(code), proof, format, args...)
	}
	return result.MayHaveRun(maybeRunCode(code), format, args...)
}

// neverRunCode replaces a code that by its definition carries no proof.
func neverRunCode(code result.Code) result.Code {
	if info, _ := code.Info(); info.Run != result.RunMaybe {
		return code
	}
	switch code {
	case result.AttemptTimeout:
		return result.DeadlineHopeless
	case result.Preempted:
		return result.NoBackendServer
	case result.StreamKeyLapsed:
		return result.KeyWithdrawn
	}
	return result.ConnectFailed
}

// maybeRunCode replaces a code that by its definition always carries a proof.
func maybeRunCode(code result.Code) result.Code {
	if info, _ := code.Info(); info.Run != result.RunNever {
		return code
	}
	if code == result.DeadlineHopeless {
		return result.AttemptTimeout
	}
	return result.NoBackendServer
}
