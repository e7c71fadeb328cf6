package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"indigotack/internal/testnet"
)

// TestSidecarKeepsItsListUntilItsSuccessorTells guards against a reload to a discovery that refuses after which a sidecar is blind, or has no server.
func TestSidecarKeepsItsListUntilItsSuccessorTells(t *testing.T) {
	w, v, x := named(t, "w"), named(t, "v"), named(t, "x")
	changes := make(chan string)
	disc := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "" {
			fmt.Fprintf(rw, `{"index":1,"snapshot":true,"endpoints":[{"name":"w","address":%q,"zone":"a","status":"ready","weight":1},{"name":"b","address":%q,"zone":"b","status":"ready","weight":1}]}`, w, v)
			return
		}
		select {
		case change := <-changes:
			fmt.Fprint(rw, change)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(disc.Close)
	b := startSidecar(t, poolsAB, listed([3]string{"a", x, "a"}, [3]string{"b", v, "b"}))
	move := func(source string) {
		t.Helper()
		b.write("app.toml", strings.Replace(sideHead, `file = "servers.toml"`, source, 1)+poolsAB)
		if err := b.reload(); err != nil {
			t.Fatal(err)
		}
	}
	keeps := func(want string) {
		t.Helper()
		for range 20 {
			if got := b.ask("GET", "/a"); got.body != want {
				t.Fatalf("answer %+v, want %q", got, want)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	becomes := func(want string) {
		t.Helper()
		testnet.Eventually(t, enough, want, func() bool { return b.ask("GET", "/a").body == want })
	}
	becomes("x")
	move(fmt.Sprintf("discovery = %q", refusing(t)))
	keeps("x")
	move(fmt.Sprintf("discovery = %q", disc.Listener.Addr()))
	becomes("w")
	move(fmt.Sprintf("discovery = %q", refusing(t)))
	keeps("w")
	change := fmt.Sprintf(`{"index":2,"snapshot":false,"endpoints":[{"name":"w","address":%q,"zone":"b","status":"ready","weight":1},{"name":"v","address":%q,"zone":"a","status":"ready","weight":1}]}`, w, v)
	select {
	case changes <- change:
	case <-time.After(enough):
		t.Fatal("the discovery before is not followed any more")
	}
	becomes("v")
	move(`file = "servers.toml"`)
	becomes("x")
}
