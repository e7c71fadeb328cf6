//go:build !faulty

package node

import (
	"net"
	"net/http"

	"indigotack/decide"
	"indigotack/internal/discovery"
)

// The program can be built wrong on purpose, with the tag faulty: rehearsals
// have to catch each of the mistakes in mistakes_faulty.go. In any other build
// these do nothing.

func afterAnswer(*http.Request)                                               {}
func afterAttempt(again func() result, res result) result                     { return res }
func onStop()                                                                 {}
func onCallFailed(error)                                                      {}
func onDiscovery(string)                                                      {}
func listedAs(_ discovery.Entry, state decide.ServerState) decide.ServerState { return state }
func startedAt(e discovery.Entry) int64                                       { return e.SinceMS }
func failingAccepts(ln net.Listener) net.Listener                             { return ln }
func failConnects(*net.Dialer)                                                {}
func shortRead(b []byte) []byte                                               { return b }
func watchTimes(t discovery.Times) discovery.Times                            { return t }
func beforeMove(*discovery.Sources)                                           {}
func instead(_ *owner, id decide.ServerID) decide.ServerID                    { return id }
