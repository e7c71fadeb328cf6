package node

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"indigotack/decide"
	"indigotack/internal/pieces"
	"indigotack/internal/wire"
)

const (
	maxBody  = 64 << 10 // of a request, and of an answer that is held whole
	maxHead  = 16 << 10 // of an answer
	inChunks = 8        // bytes that each of a body may take on its connection: in chunks of one byte it takes six
	maxInfos = 8        // 1xx answers ahead of the real one

	passMargin    = 20 * time.Millisecond  // before an attempt's end an answer that is still coming is passed on
	comingTime    = 500 * time.Millisecond // without a byte for longer an answer is not coming any more
	streamSilence = 2 * time.Second        // of a server within an answer that is passed on
)

var errFraming = errors.New("the answer's framing takes too much")

// early is how an answer may be passed on before it has come whole. Its zero value
// has it never passed on so.
type early struct {
	by      time.Time    // it is passed on then if it is still coming
	release func() bool  // lets go of the connection's deadline; false: it was over before
	begin   func(result) // passes on what has come, and what comes later through the same body
}

// incoming is a server's answer while its body comes.
type incoming struct {
	conn    *conn
	from    io.Reader
	result  result // what its head says, and the body
	early   early
	settled sync.Once // it is passed on early, or has come whole
	passing atomic.Bool
}

// receive reads one answer to its end; clean tells that the connection can carry
// another request.
func (c *conn) receive(method string, e early) (res result, clean bool, err error) {
	head, err := c.readHead(method)
	if err != nil {
		return res, false, err
	}
	// The body is never closed: that would read it to an end that may not come.
	res = c.outcomeOf(head)
	switch {
	case res.code == decide.OK:
		res, err = c.receiveBody(head, res, e)
	case res.passable:
		res, err = c.receiveBody(head, res, early{})
		if errors.Is(err, errTooLong) {
			return c.withoutWords(res), false, nil
		}
	default:
		return c.dropBody(head, res)
	}
	return res, err == nil && !head.Close && c.read.Buffered() == 0, err
}

// readHead reads the head of an answer, behind those that only inform.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.budget.N = maxHead
	for range maxInfos + 1 {
		head, err := http.ReadResponse(c.read, &http.Request{Method: method})
		if err != nil || head.StatusCode >= 200 {
			return head, err
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("unexpected answer %s", head.Status)
		}
	}
	return nil, fmt.Errorf("more than %d answers that only inform", maxInfos)
}

// outcomeOf is what an answer's head says of the attempt.
func (c *conn) outcomeOf(head *http.Response) result {
	res := result{report: parseLoad(head.Header.Get("X-Load")), status: head.StatusCode, header: head.Header, length: head.ContentLength}
	notRun := head.Header.Get("X-Not-Run") == "1"
	switch status := head.StatusCode; {
	case status == http.StatusOK, c.pool.ordinary && status < 500 && status != http.StatusTooManyRequests:
		res.code = decide.OK
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && notRun:
		res.code = decide.Full
	case status == http.StatusBadRequest || status == http.StatusNotFound:
		res.code = decide.Unusable
	default:
		res.code = decide.ServerError
		// To a client 429 and 503 say that another try does no harm, which
		// this server has not said.
		res.passable = c.pool.ordinary && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests
	}
	return res
}

// withoutWords is a failure whose own answer is not passed on.
func (c *conn) withoutWords(res result) result {
	res.body.Abandon()
	return result{code: res.code, report: res.report}
}

// dropBody reads the body of an answer that is not passed on, as far as that lets the
// connection carry another request.
func (c *conn) dropBody(head *http.Response, res result) (result, bool, error) {
	most := int64(c.pool.maxBody)
	c.budget.N += inChunks * (most + 1)
	size, err := io.Copy(io.Discard, io.LimitReader(head.Body, most+1))
	res = c.withoutWords(res)
	if err != nil {
		return res, false, err
	}
	return res, size <= most && !head.Close && c.read.Buffered() == 0, nil
}

var errTooLong = errors.New("the answer is too long")

// receiveBody reads an answer's body to its end. It is held whole up to the pool's
// bound, and passed on early beyond it.
func (c *conn) receiveBody(head *http.Response, res result, e early) (result, error) {
	res.body = pieces.New(c.pool.account)
	in := &incoming{conn: c, from: head.Body, result: res, early: e}
	if e.begin != nil {
		timer := time.AfterFunc(time.Until(e.by), in.passIfComing)
		defer timer.Stop()
	}
	err := in.read()
	in.settled.Do(func() {})
	res.passed = in.passing.Load()
	res.body.End(err)
	return res, err
}

// readBuffers are for bytes on their way from a connection to a body: a stack that holds
// them grows for each attempt.
var readBuffers = sync.Pool{New: func() any { return new([pieces.Size]byte) }}

// read reads the body to its end.
func (in *incoming) read() error {
	buffer := readBuffers.Get().(*[pieces.Size]byte)
	defer readBuffers.Put(buffer)
	for {
		if in.passing.Load() {
			in.conn.SetReadDeadline(time.Now().Add(streamSilence)) // fails only on a closed connection
		}
		// Where the budget is spent a body would seem to end, so it never is.
		in.conn.budget.N = maxHead + inChunks*int64(len(buffer))
		size, err := in.ready(len(buffer))
		if err != nil {
			return err
		}
		n, err := in.from.Read(buffer[:size])
		if in.conn.budget.N <= 0 {
			return errFraming
		}
		if n > 0 {
			if err := in.keep(buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// ready waits for bytes and gives how many are to be read at once, at most some. A
// longer read would wait for all that it asks for where the body comes in chunks.
func (in *incoming) ready(most int) (int, error) {
	if in.from == http.NoBody {
		return most, nil
	}
	if _, err := in.conn.read.Peek(1); err != nil && err != io.EOF { // of an end the read tells
		return 0, err
	}
	return min(most, max(1, in.conn.read.Buffered())), nil
}

// keep takes up the next bytes. Those for which there is no room, in the answer's own
// bound or in the node's memory, have it passed on early.
func (in *incoming) keep(received []byte) error {
	if !in.passing.Load() {
		if in.result.body.Len()+len(received) <= in.conn.pool.maxBody && in.result.body.Hold(received) {
			return nil
		}
		in.pass()
	}
	if !in.passing.Load() {
		return errTooLong
	}
	return in.result.body.Put(received)
}

// passIfComing passes the answer on early unless its server has fallen silent.
func (in *incoming) passIfComing() {
	if time.Since(*in.conn.heard.Load()) < comingTime {
		in.pass()
	}
}

// pass passes the answer on early, if it may be and has not come whole.
func (in *incoming) pass() {
	in.settled.Do(func() {
		if in.early.begin == nil || !in.early.release() {
			return
		}
		in.conn.SetReadDeadline(time.Now().Add(streamSilence)) // fails only on a closed connection
		in.result.body.OnAbandon(func() { in.conn.SetReadDeadline(longAgo) })
		in.result.passed = true
		in.early.begin(in.result)
		in.passing.Store(true)
	})
}

// parseLoad reads a load report. One that is malformed in any part is ignored
// as a whole: half a report says less than the count it would replace.
func parseLoad(s string) *decide.Report {
	if s == "" {
		return nil
	}
	var r decide.Report
	known := false
	for part := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return nil
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil
		}
		known = wire.SetReportField(&r, name, v) || known
	}
	if !known {
		return nil
	}
	return &r
}
