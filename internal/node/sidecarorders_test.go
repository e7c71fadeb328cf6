package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"indigotack/internal/appconfig"
)

const ordersInFile = "[admin]\non_listen = true\n"

// startOrdered starts a sidecar with one server and more in its file.
func startOrdered(t *testing.T, more string) *beside {
	t.Helper()
	return startSidecar(t, more, listed([3]string{"w", named(t, "page"), ""}))
}

// TestSidecarPassesOrdersPathsOn: without on_listen they are its clients' as any other.
func TestSidecarPassesOrdersPathsOn(t *testing.T) {
	b := startOrdered(t, "")
	if got := b.ask("POST", appconfig.QuiescePath); got.status != http.StatusOK || got.body != "page" {
		t.Errorf("%+v, want the server's answer", got)
	}
	if got := b.ask("GET", "/health/ready"); got.status != http.StatusOK {
		t.Errorf("a client's request has drained the sidecar: %+v", got)
	}
}

// TestSidecarTakesOrdersOnListenIfTold: from operators, never from a client with a class.
func TestSidecarTakesOrdersOnListenIfTold(t *testing.T) {
	b := startOrdered(t, ordersInFile)
	if got := b.ask("POST", appconfig.QuiescePath, "X-Class", "default"); got.body != "page" {
		t.Errorf("a client's request: %+v, want the server's answer", got)
	}
	if got := b.ask("POST", appconfig.QuiescePath); got.status != http.StatusOK || !strings.Contains(got.body, `"drained"`) {
		t.Errorf("quiesce: %+v", got)
	}
	if got := b.ask("GET", "/x"); got.status != http.StatusServiceUnavailable {
		t.Errorf("a drained sidecar answers %+v, want 503", got)
	}
	if got := b.ask("POST", appconfig.ResumePath); got.status != http.StatusOK || !strings.Contains(got.body, `"ready"`) {
		t.Errorf("resume: %+v", got)
	}
	if got := b.ask("GET", "/x"); got.body != "page" {
		t.Errorf("after resume: %+v", got)
	}
}

// TestSidecarStaysDrainedOverReload: and a change of [admin] is not taken up by it.
func TestSidecarStaysDrainedOverReload(t *testing.T) {
	b := startOrdered(t, "")
	order := func(path string) (status int, said string) {
		answer := httptest.NewRecorder()
		b.Operators("test").ServeHTTP(answer, httptest.NewRequest(http.MethodPost, path, nil))
		return answer.Code, answer.Body.String()
	}
	if status, said := order(appconfig.QuiescePath); status != http.StatusOK || !strings.Contains(said, `"drained"`) {
		t.Fatalf("quiesce: %d %s", status, said)
	}
	b.write("app.toml", sideHead+ordersInFile)
	if err := b.reload(); err != nil {
		t.Fatal(err)
	}
	if got := b.ask("POST", appconfig.ResumePath); got.status != http.StatusServiceUnavailable {
		t.Errorf("an order where clients connect after a reload: %+v, want 503 as for any request", got)
	}
	if !strings.Contains(b.log.String(), "section=admin") {
		t.Errorf("the log does not say that [admin] needs a restart:\n%s", b.log)
	}
	if got := b.ask("GET", "/health/ready"); got.status != http.StatusServiceUnavailable {
		t.Errorf("ready after a reload: %+v", got)
	}
	if status, said := order(appconfig.ResumePath); status != http.StatusOK || !strings.Contains(said, `"ready"`) {
		t.Errorf("resume: %d %s", status, said)
	}
	if got := b.ask("GET", "/x"); got.body != "page" {
		t.Errorf("after resume: %+v", got)
	}
	if status, _ := order("/admin/nonsense"); status != http.StatusNotFound {
		t.Errorf("a path that is no order's: %d, want 404", status)
	}
}
