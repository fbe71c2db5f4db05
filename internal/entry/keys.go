package entry

import (
	"net/http"
	"strings"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

const bearerScheme = "Bearer"

// bearerKey returns the key of an Authorization header. It returns false for
// any other form than "Bearer KEY".
func bearerKey(value string) (string, bool) {
	scheme, key, _ := strings.Cut(value, " ")
	key = strings.TrimSpace(key)
	return key, strings.EqualFold(scheme, bearerScheme) && key != ""
}

// credential returns the key of a request, or an empty string if there is no
// Authorization header. Headers that do not name exactly one key are refused on
// every route, so that a request never runs under an unintended identity.
func credential(h http.Header, gate *result.Gate) (string, *result.Error) {
	lines := h.Values("Authorization")
	if len(lines) == 0 {
		return "", nil
	}
	if len(lines) > 1 {
		return "", gate.Refuse(result.BadRequest, "the request bears %d Authorization headers; send one", len(lines))
	}
	key, ok := bearerKey(lines[0])
	if !ok {
		return "", gate.Refuse(result.KeyMissing, "the Authorization header is not of the form Bearer KEY")
	}
	return key, nil
}

// caller is the authenticated sender of a request. The zero value is anonymous.
type caller struct {
	organisation *config.Organisation
	key          config.KeyDigest
}

// authenticate maps the request's key to its organisation.
func authenticate(snap *config.Snapshot, h http.Header, gate *result.Gate) (caller, *result.Error) {
	key, refusal := credential(h, gate)
	if refusal != nil {
		return caller{}, refusal
	}
	if key == "" {
		return caller{}, gate.Refuse(result.KeyMissing, "the request bears no key; send Authorization: Bearer KEY")
	}
	digest := config.DigestKey(key)
	state, ok := snap.Key(digest)
	if !ok {
		return caller{}, gate.Refuse(result.KeyUnknown, "the key was never granted")
	}
	if state.Withdrawn {
		return caller{}, gate.Refuse(result.KeyWithdrawn, "the key was withdrawn")
	}
	org := snap.Organisation(state.Organisation)
	if org == nil {
		return caller{}, gate.Refuse(result.NotPermitted, "the organisation %q is not in the configuration", state.Organisation)
	}
	return caller{organisation: org, key: digest}, nil
}
