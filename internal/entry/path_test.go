package entry

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"path"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

func TestBackendPath(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	seen := make(chan *http.Request, 1)
	e.captureRequests("entries", seen)
	for sent, want := range map[string]string{
		"/services/entries":               "/",
		"/services/entries/":              "/",
		"/services/entries/a/b/":          "/a/b/",
		"/services/entries/a%2Fb?x=%2F":   "/a%2Fb?x=%2F",
		"/services/entri%65s/a":           "/a",
		"/%73ervices/entries/a":           "/a",
		"/services/entries/services/x":    "/services/x",
		"/services/entries/..a/a..":       "/..a/a..",
		"/services/entries/%E2%82%AC%20c": "/%E2%82%AC%20c",
	} {
		got := e.call(http.MethodGet, sent, clubKey, "")
		is.Equal(got.StatusCode, http.StatusOK)
		is.Equal((<-seen).RequestURI, want)
	}
}

func TestInvalidPaths(t *testing.T) {
	e := startTestServer(t, testServerOptions{})
	for target, code := range map[string]result.Code{
		"/services/entries/../bookings/x":         result.BadRequest,
		"/services/entries/%2e%2e/bookings/x":     result.BadRequest,
		"/services/entries/%2E./x":                result.BadRequest,
		"/services/entries/a%2f..%2f..%2fb":       result.BadRequest,
		"/services/entries/..%5cb":                result.BadRequest,
		"/services/entries/..;x=1/b":              result.BadRequest,
		"/services//entries/x":                    result.BadRequest,
		"//services/entries/x":                    result.BadRequest,
		"/services/entries%2Fx":                   result.UnknownService,
		"/services/":                              result.UnknownRoute,
		"/services":                               result.UnknownRoute,
		"/":                                       result.UnknownRoute,
		"/services/nothing/x":                     result.UnknownService,
		"http://elsewhere/services/entries/../b":  result.BadRequest,
		"/v1/chat/completions":                    result.MethodNotAllowed,
		"/v1/models/" + strings.Repeat("x", 1000): result.UnknownModel,
	} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			got := readResponse(t, e.raw("GET "+target+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+clubKey+"\r\n\r\n"))
			refusal := got.refusal(t)
			is.Equal(refusal.Code, code)
			is.True(refusal.NotRun)
			is.Equal(refusal.Request, got.Header.Get(RequestHeader))
			is.Equal(e.entries.TotalRuns(), 0)
		})
	}
}

// FuzzServicePath checks that a path reaches only the service that its cleaned
// form names, and that the forwarded path stays below that service.
func FuzzServicePath(f *testing.F) {
	for _, seed := range []string{
		"/services/entries/a", "/services/entries/../bookings/x", "/services/entries/%2e%2e/bookings/x",
		"/services/entries/a%2f..%2f..%2fbookings", "/services/entries%2f..%2fbookings/x", "/%73ervices/entries/a",
		"/services/entries/..;/b", "/services/entries/%252e%252e/x", "/services/entries/..%5c..%5cb", "/services/entries/%zz", "//services/x/y",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, target string) {
		u, err := url.ParseRequestURI(target)
		if err != nil || u.Scheme != "" || u.Host != "" {
			return
		}
		r := &http.Request{Method: http.MethodGet, URL: u}
		if invalidPathReason(r) != "" {
			return
		}
		var service, sent string
		mux := http.NewServeMux()
		take := func(_ http.ResponseWriter, r *http.Request) {
			service, sent = r.PathValue("service"), pathAfterService(r.URL.EscapedPath())
		}
		mux.HandleFunc("/services/{service}", take)
		mux.HandleFunc("/services/{service}/{path...}", take)
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, r)
		if w.Code == http.StatusMovedPermanently || w.Code == http.StatusTemporaryRedirect {
			t.Fatalf("%q is redirected to %q", target, w.Header().Get("Location"))
		}
		if service == "" {
			return
		}
		if !strings.HasPrefix(sent, "/") {
			t.Fatalf("%q sends %q", target, sent)
		}
		plain, err := url.PathUnescape(sent)
		if err != nil {
			t.Fatalf("%q sends %q: %v", target, sent, err)
		}
		for _, form := range []string{sent, plain} {
			whole := "/services/" + service + form
			if cleaned := path.Clean(whole); !strings.Contains(service, "/") && cleaned != "/services/"+service && !strings.HasPrefix(cleaned, "/services/"+service+"/") {
				t.Fatalf("%q reaches %q", target, cleaned)
			}
		}
	})
}
