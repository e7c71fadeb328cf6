package operators

import (
	"strings"
	"testing"
)

func TestAddressThatTheClientsListenerHolds(t *testing.T) {
	for address, same := range map[string]bool{"127.0.0.1:5000": true, ":5000": true, "0.0.0.0:5000": true, "127.0.0.1:5001": false, "127.0.0.2:5000": false} {
		found := Find([]byte(`{"admin":"`+address+`"}`), nil, "127.0.0.1:5000")
		if is := strings.Join(found.OnListen, ",") == "admin"; is != same || is == (len(found.Addresses) > 0) {
			t.Errorf("%s: on the clients' listener %v, want %v; others %v", address, is, same, found.Addresses)
		}
	}
	for _, c := range []struct{ address, listen string }{{"127.0.0.1:5000", "[::]:5000"}, {"localhost:5000", "localhost:5000"}, {"localhost:5000", "127.0.0.1:5000"}} {
		if !sameListener(c.address, c.listen) {
			t.Errorf("%v are two listeners", c)
		}
	}
}
