package standin

import "strings"

// CallForm is a form of an operator's call that a platform's node carries out.
type CallForm struct {
	Name string
	text string // with %s for the path
}

// For is the call of a path, as it is sent.
func (f CallForm) For(path string) string { return strings.Replace(f.text, "%s", path, 1) }

// CallForms are the forms in which operators' clients may call.
var CallForms = []CallForm{
	{"POST without length", "POST %s HTTP/1.1\r\nHost: node\r\n\r\n"},
	{"POST without a body", "POST %s HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n"},
	{"POST of JSON", "POST %s HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"},
	{"POST in chunks", "POST %s HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
	{"POST that expects 100", "POST %s HTTP/1.1\r\nHost: node\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"},
	{"POST that closes", "POST %s HTTP/1.1\r\nHost: node\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
	{"POST that keeps", "POST %s HTTP/1.1\r\nHost: node\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n"},
	{"POST with an id", "POST %s HTTP/1.1\r\nHost: node\r\nX-Request-Id: operator-1\r\nContent-Length: 0\r\n\r\n"},
	{"POST of HTTP/1.0", "POST %s HTTP/1.0\r\nHost: node\r\nContent-Length: 0\r\n\r\n"},
	{"POST of 1.0, no Host", "POST %s HTTP/1.0\r\nContent-Length: 0\r\n\r\n"},
	{"POST whose body never comes", "POST %s HTTP/1.1\r\nHost: node\r\nContent-Length: 20\r\n\r\n{"},
	{"GET", "GET %s HTTP/1.1\r\nHost: node\r\n\r\n"},
	{"GET of 1.0 without Host", "GET %s HTTP/1.0\r\n\r\n"},
	{"GET with a query", "GET %s?by=me HTTP/1.1\r\nHost: node\r\n\r\n"},
	{"GET with an absolute target", "GET http://node%s HTTP/1.1\r\nHost: node\r\n\r\n"},
	{"GET with bare line feeds", "GET %s HTTP/1.1\nHost: node\n\n"},
	{"GET that asks for an upgrade", "GET %s HTTP/1.1\r\nHost: node\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"},
	{"PUT", "PUT %s HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n"},
	{"GET without a Host", "GET %s HTTP/1.1\r\n\r\n"},
	{"GET without a Host, bare line feeds", "GET %s HTTP/1.1\n\n"},
	{"POST without a Host", "POST %s HTTP/1.1\r\nContent-Length: 0\r\n\r\n"},
	{"POST of JSON without a Host", "POST %s HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"},
	{"absolute target without a Host", "GET http://node%s HTTP/1.1\r\n\r\n"},
	{"GET with a client's headers", "GET %s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: client-1\r\nX-Class: page\r\nX-Deadline: 0.500\r\n\r\n"},
	{"POST with a client's headers", "POST %s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: client-2\r\nX-Class: page\r\nX-Deadline: 0.500\r\nContent-Length: 0\r\n\r\n"},
	{"POST with a keyed client's headers", "POST %s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: client-3\r\nX-Class: order\r\nIdempotency-Key: k\r\nX-Deadline: 0.500\r\nContent-Length: 0\r\n\r\n"},
	{"POST with an unknown class", "POST %s HTTP/1.1\r\nHost: node\r\nX-Class: unknown\r\nContent-Length: 0\r\n\r\n"},
	{"GET with a client's headers, no Host", "GET %s HTTP/1.1\r\nX-Request-Id: client-4\r\nX-Class: page\r\nX-Deadline: 0.500\r\n\r\n"},
	{"slash behind", "GET %s/ HTTP/1.1\r\nHost: node\r\n\r\n"},
	{"two slashes in front", "GET /%s HTTP/1.1\r\nHost: node\r\n\r\n"},
	{"slashes and no Host", "POST /%s// HTTP/1.1\r\n\r\n"},
}

// RefusedForm is something that a platform's node refuses or closes, and of which
// its log has to tell.
type RefusedForm struct {
	Name, Text string
	Reason     string // of the log line
	Said       string // a part of the log line: what came
}

// Slow tells whether it is refused or closed only when nothing more has come in time.
func (f RefusedForm) Slow() bool { return f.Reason == "half_head" || f.Reason == "silent" }

// AsRequest tells whether it is refused as a client's request that is not sound.
func (f RefusedForm) AsRequest() bool { return strings.HasPrefix(f.Reason, "unreadable") }

// RefusedForms are what a node can't read, or is no call though it looks like one.
var RefusedForms = []RefusedForm{
	{"two Hosts", "GET /admin/quiesce HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "host_twice", "GET /admin/quiesce HTTP/1.1"},
	{"a Host with a space", "GET /admin/quiesce HTTP/1.1\r\nHost: a b\r\n\r\n", "host_malformed", "GET /admin/quiesce HTTP/1.1"},
	{"a client without a Host", "GET /api/x HTTP/1.1\r\nX-Secret: topsecret\r\n\r\n", "host_missing", "GET /api/x HTTP/1.1"},
	{"HTTP/0.9", "GET /admin/quiesce\r\n", "malformed", "GET /admin/quiesce"},
	{"HTTP/2.0", "GET /admin/quiesce HTTP/2.0\r\nHost: a\r\n\r\n", "http_version", "GET /admin/quiesce HTTP/2.0"},
	{"PROXY line", "PROXY TCP4 127.0.0.1 127.0.0.1 1 2\r\nGET /admin/quiesce HTTP/1.1\r\nHost: a\r\n\r\n", "malformed", "PROXY TCP4 127.0.0.1"},
	{"PROXY of version 2", "\r\n\r\n\x00\r\nQUIT\n!\x11\x00\x0c\x7f\x00\x00\x01", "malformed", ""},
	{"coding that is not known", "POST /admin/quiesce HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", "transfer_coding", "POST /admin/quiesce HTTP/1.1"},
	{"another Expect", "POST /admin/quiesce HTTP/1.1\r\nHost: a\r\nExpect: 200-maybe\r\nContent-Length: 0\r\n\r\n", "expectation", "POST /admin/quiesce HTTP/1.1"},
	{"a head that is too long", "GET /admin/quiesce HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 30<<10) + "\r\n\r\n", "head_too_long", "GET /admin/quiesce HTTP/1.1"},
	{"half a line", "GET /admin/qui", "half_head", "GET /admin/qui"},
	{"half a head", "GET /admin/quiesce HTTP/1.1\r\nX-Secret: topsecret\r\n", "half_head", "GET /admin/quiesce HTTP/1.1"},
	{"nothing", "", "silent", ""},

	{"another case", "GET /Admin/Quiesce HTTP/1.1\r\nHost: a\r\n\r\n", "unknown", "/Admin/Quiesce"},
	{"another case, a client's headers", "GET /ADMIN/QUIESCE HTTP/1.1\r\nHost: a\r\nX-Request-Id: q\r\nX-Class: page\r\nX-Deadline: 0.500\r\n\r\n", "unknown", "/ADMIN/QUIESCE"},
	{"dot segments", "GET /admin/x/../quiesce HTTP/1.1\r\nHost: a\r\n\r\n", "unknown", "/admin/x/../quiesce"},
	{"a call that is not known", "POST /admin/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "unknown", "/admin/drain"},
	{"a path with a tail", "POST /admin/quiesce/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "unknown", "/admin/quiesce/x"},
	{"PATCH", "PATCH /admin/quiesce HTTP/1.1\r\nHost: a\r\n\r\n", "quiesce_method", "PATCH"},
	{"DELETE", "DELETE /admin/quiesce HTTP/1.1\r\nHost: a\r\n\r\n", "quiesce_method", "DELETE"},
	{"an h2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "unreadable_400", "method=PRI"},
	{"OPTIONS of all", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", "unreadable_400", "method=OPTIONS"},
}
