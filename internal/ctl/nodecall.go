package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"indigotack/internal/node"
)

// Bounds of what is read of a node's answer, and shown of one that is no node's.
const (
	maxStatus = 64 << 10 // bytes
	maxShown  = 100      // bytes
)

// deniedError is a node's answer to an order that it does not carry out.
type deniedError struct{ status node.Status }

func (e deniedError) Error() string { return "denied: " + e.status.Reason }

// noOrdersError is the answer of an address that does not hear operators.
type noOrdersError struct{ status, says string }

func (e noOrdersError) Error() string {
	return fmt.Sprintf("this address takes no orders: it answers %s, %q; want the address in [admin] of a sidecar, or any of a platform's node, "+
		"and a version that knows drain and resume", e.status, e.says)
}

// nodeClient follows no redirect and asks no proxy, as neither is a node.
var nodeClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// callNode gives a node an order, or asks it, and reads its state.
func callNode(ctx context.Context, address, method, path string) (s node.Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return s, err
	}
	resp, err := nodeClient.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatus))
	if err != nil {
		return s, fmt.Errorf("reading the answer: %w", err)
	}
	isStatus := json.Unmarshal(body, &s) == nil && s.State != ""
	switch {
	case isStatus && resp.StatusCode == http.StatusOK:
		return s, nil
	case isStatus && resp.StatusCode == http.StatusConflict:
		return s, deniedError{s}
	}
	says := strings.TrimSpace(string(body))
	return s, noOrdersError{resp.Status, says[:min(len(says), maxShown)]}
}
