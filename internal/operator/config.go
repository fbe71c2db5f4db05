package operator

import (
	"cmp"
	"encoding/hex"
	"net/http"
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

func (h *handler) showConfig(w http.ResponseWriter, _ *http.Request) {
	snapshot := h.Source.Current()
	if snapshot == nil {
		writeError(w, refuse(result.ConfigurationStale, "no configuration was read yet"))
		return
	}
	writeJSON(w, http.StatusOK, ConfigAnswer{
		Version: snapshot.Version, Text: snapshot.Text, ZonesOut: sortedZones(snapshot),
	})
}

func sortedZones(s *config.Snapshot) []string {
	zones := s.DrainedZones()
	slices.Sort(zones)
	return zones
}

func (h *handler) applyConfig(w http.ResponseWriter, r *http.Request) {
	var request ApplyRequest
	if !readJSON(w, r, &request) {
		return
	}
	version, err := h.Editor.Apply(r.Context(), request.Text, request.Base)
	h.writeChange(w, "apply configuration", "", version, err)
}

func (h *handler) checkConfig(w http.ResponseWriter, r *http.Request) {
	var request CheckRequest
	if !readJSON(w, r, &request) {
		return
	}
	answer := CheckAnswer{Faults: []config.Fault{}}
	if _, err := config.Decode(request.File, []byte(request.Text)); err != nil {
		answer.Faults = faultsOf(err)
	}
	writeJSON(w, http.StatusOK, answer)
}

func (h *handler) listKeys(w http.ResponseWriter, _ *http.Request) {
	keys := []KeyAnswer{}
	if snapshot := h.Source.Current(); snapshot != nil {
		snapshot.Keys(func(d config.KeyDigest, k config.KeyState) bool {
			keys = append(keys, KeyAnswer{Digest: d, Organisation: k.Organisation, Withdrawn: k.Withdrawn})
			return true
		})
	}
	slices.SortFunc(keys, func(a, b KeyAnswer) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Digest, b.Digest))
	})
	writeJSON(w, http.StatusOK, keys)
}

func (h *handler) grantKey(w http.ResponseWriter, r *http.Request) {
	var request GrantRequest
	if !readJSON(w, r, &request) || !validDigest(w, request.Digest) {
		return
	}
	version, err := h.Editor.GrantKey(r.Context(), request.Digest, request.Organisation)
	h.writeChange(w, "grant key", request.Organisation, version, err)
}

func (h *handler) withdrawKey(w http.ResponseWriter, r *http.Request) {
	digest := config.KeyDigest(r.PathValue("digest"))
	if !validDigest(w, digest) {
		return
	}
	version, err := h.Editor.WithdrawKey(r.Context(), digest)
	h.writeChange(w, "withdraw key", string(digest), version, err)
}

func validDigest(w http.ResponseWriter, d config.KeyDigest) bool {
	b, err := hex.DecodeString(string(d))
	if err != nil || len(d) != len(config.DigestKey("")) || hex.EncodeToString(b) != string(d) {
		writeError(w, refuse(result.BadRequest, "the key's digest is not SHA-256 in lower-case hexadecimal"))
		return false
	}
	return true
}

func (h *handler) setZone(w http.ResponseWriter, r *http.Request) {
	var request ZoneRequest
	if !readJSON(w, r, &request) {
		return
	}
	zone := r.PathValue("zone")
	version, err := h.Editor.SetZoneDrained(r.Context(), zone, request.Out)
	act := "zone in"
	if request.Out {
		act = "zone out"
	}
	h.writeChange(w, act, zone, version, err)
}

func (h *handler) inForce(w http.ResponseWriter, r *http.Request) {
	versions, err := h.Editor.InForce(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	slices.SortFunc(versions, func(a, b config.InstanceVersion) int { return cmp.Compare(a.Instance, b.Instance) })
	writeJSON(w, http.StatusOK, versions)
}

// writeChange answers and logs a request that changes the configuration. Version 0
// means that the change is not yet written to the table service.
func (h *handler) writeChange(w http.ResponseWriter, act, subject string, version uint64, err error) {
	if err != nil {
		h.Log.Warn("operator request failed", "act", act, "subject", subject, "error", err)
		writeError(w, err)
		return
	}
	h.Log.Info("operator request accepted", "act", act, "subject", subject, "version", version)
	writeJSON(w, http.StatusOK, ChangeAnswer{Version: version, Pending: version == 0})
}
