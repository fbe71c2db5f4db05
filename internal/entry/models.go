package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// modelInfo is one entry of the OpenAI model list.
type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

func newModelInfo(m config.Model) modelInfo {
	return modelInfo{ID: m.Name, Object: "model", OwnedBy: "hawthornwick"}
}

func (s *Server) serveModels(x *exchange) {
	if _, refusal := authenticate(x.snap, x.r.Header, &x.gate); refusal != nil {
		x.refuse(refusal)
		return
	}
	list := modelList{Object: "list", Data: make([]modelInfo, 0, len(x.snap.Config.Models))}
	for _, m := range x.snap.Config.Models {
		list.Data = append(list.Data, newModelInfo(m))
	}
	x.answerJSON(list)
}

func (s *Server) serveModelInfo(x *exchange) {
	if _, refusal := authenticate(x.snap, x.r.Header, &x.gate); refusal != nil {
		x.refuse(refusal)
		return
	}
	name := x.r.PathValue("model")
	m := x.snap.Model(name)
	if m == nil {
		x.refuse(x.gate.Refuse(result.UnknownModel, "the configuration has no model %q", name))
		return
	}
	x.answerJSON(newModelInfo(*m))
}

// answerJSON answers a request that needs no backend server.
func (x *exchange) answerJSON(v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // not reached: strings and numbers can always be encoded
	}
	body = append(body, '\n')
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = x.w.Write(body)
	x.log("request answered", "status", http.StatusOK)
}
