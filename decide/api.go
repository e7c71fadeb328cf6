// Package decide makes the decisions of a load-balancing proxy node: which
// server gets a request, when another attempt is made, when a request is
// refused. It does no I/O, reads no clock and starts no goroutine: the caller
// feeds it events and carries out the actions it returns.
//
// This file is the interface; the decisions are in the other files.
package decide

import "time"

// Time is a reading of the caller's monotonic clock. Its zero has no meaning.
type Time = time.Duration

// ServerID names a server, RequestID one try of a client's request. Both are
// opaque.
type (
	ServerID  uint32
	RequestID string
)

// Effect says what a second execution of a request would do.
type Effect int

const (
	// Unsafe requests must never run twice.
	Unsafe Effect = iota
	// Keyed requests carry a key by which a group of servers drops repeats.
	Keyed
	// Safe requests may run any number of times.
	Safe
)

// Scope is the group of servers that share knowledge of keys.
type Scope int

const (
	// ScopeCell is one cell of servers.
	ScopeCell Scope = iota
	// ScopeZone is one zone.
	ScopeZone
	// ScopeAll is every server.
	ScopeAll
)

// Class describes one kind of request.
type Class struct {
	Name        string
	Worth       float64       // of one request
	Aim         time.Duration // an answer within this time has full worth
	AimStretch  float64       // the aim grows by this many times the request's work
	Deadline    time.Duration // the client's total patience, over all its tries
	LateWorth   float64       // part of the worth for an answer past the aim
	Effect      Effect
	KeyScope    Scope         // for Keyed: the group that drops repeats
	DedupWindow time.Duration // for Keyed: how long the group remembers
	Streamed    bool          // the answer is a stream
	OnlyZones   []string      // the zones open to it; nil: all, empty: none
	OnlyKinds   []string      // the machine kinds open to it; nil: all, empty: none
}

// Tenant is a customer with a guaranteed share.
type Tenant struct {
	Name  string
	Quota float64 // requests each second over all nodes
	Share float64
}

// Settings is what a node is told at its start.
type Settings struct {
	Nodes   int    // how many nodes decide for these servers
	Self    int    // this node's number among them
	Zone    string // this node's zone
	Zones   []string
	Kinds   []string // machine kinds
	Classes []Class
	Tenants []Tenant

	MaxAttempts    int           // for one request
	MayOverlap     bool          // two attempts of a request may be out at once
	MayCancel      bool          // CancelAttempt is allowed
	MayProbe       bool          // Probe is allowed
	MayMessage     bool          // SendMessage is allowed
	HoldOffs       bool          // clients are told Refuse.HoldOff
	MaxHoldOff     time.Duration // the longest hold-off that clients follow
	MarksRepeats   bool          // clients mark their repeats
	ConnectTimeout time.Duration
	MinTick        time.Duration // events come no closer together than this
	AskForList     bool          // list changes come only after Subscribe or FetchList
	SizeKnown      bool          // Server.Size tells something of the machine's size
	SizeRough      bool          // give or take
	SizeLive       bool          // Server.Size falls as the server fills
	OverShareWorth float64       // worth of a request over its tenant's share, as a part
	WorthByWork    bool          // worth counts by unit of work, not by request
	ReportVia      ReportVia     // where load reports come from
	ReportFields   []string      // names of the values in them

	Family         string   // the kind of service
	Tier           int      // the tier that this node sends to, by its place in Tiers
	Tiers          []string // names of the tiers
	WarmKeys       bool     // a server that met a key lately needs less work for it
	PassesDeadline bool     // a server's calls to the next tier carry what is left of the request's time
	StreamsPerConn int      // attempts that one connection carries at once
	ConnIdle       time.Duration
	MaxOpen        int           // requests that this node can have open
	CPUPerSecond   time.Duration // what this node may spend on decisions
	CPUPerRequest  time.Duration // the same for a request with its outcomes; 0: no limit
	Goal           Goal
	Prices         Prices

	AnswerSlack    time.Duration // a final answer this long past the deadline still counts
	AskWithin      time.Duration // without a subscription, ask at least this often
	DrainGrace     time.Duration // sends to a draining server must have stopped by then
	DrainClose     time.Duration // idle connections to one must be closed by then; 0: no such rule
	ColdFrom       float64       // part of its capacity a server starts with, at least
	ColdTime       time.Duration // a started server is warm after this time
	OverloadFactor float64       // a cold server falls over beyond this multiple of its capacity
	OverloadTime   time.Duration // when that lasts so long
}

// Goal weighs the parts of the result.
type Goal struct{ Whole, WorstWindow, WorstClass, WorstTenant float64 }

// Prices are points off the result, each for one unit of what it names.
type Prices struct {
	Connection, Handshake, CrossZone, Waste, LateFail, Probe, Message, Moves, Origin, ListLines, Fleet float64
}

// ReportVia is the way load reports reach a node.
type ReportVia int

const (
	// ReportNone means there are none.
	ReportNone ReportVia = iota
	// ReportProbe means only probe results carry them.
	ReportProbe
	// ReportAnswers means outcomes carry them too.
	ReportAnswers
)

// Report is a server's own account of its load. It is late and not exact.
type Report struct {
	InFlight, Queue       float64 // requests held; requests waiting
	HasInFlight, HasQueue bool
	Utilisation           float64 // 0 if absent
	ServiceTime           time.Duration
	Rate, ErrorRate       float64 // each second
}

// ServerState is what discovery says of a server.
type ServerState int

const (
	// Ready servers take requests.
	Ready ServerState = iota
	// Draining servers finish what they have.
	Draining
	// Gone servers have been removed.
	Gone
)

// Server is an entry of the server list.
type Server struct {
	ID        ServerID
	Zone      string
	Kind      string
	Cell      int
	State     ServerState
	Size      float64 // without unit; compare with other servers
	StartedAt Time    // 0: long ago
}

// Event is something that happened. The types below are all there are.
type Event interface{ event() }

// ListKind is the form of a ListUpdate.
type ListKind int

const (
	// ListChanges holds only the changed entries.
	ListChanges ListKind = iota
	// ListFull holds all; a server not in it is gone.
	ListFull
	// ListCached is a full list as this node had it last; it can be old.
	ListCached
	// ListFailed has no entries: a call failed or the subscription broke.
	ListFailed
)

// OutcomeCode tells how an attempt or a probe ended.
type OutcomeCode int

const (
	// OK: served.
	OK OutcomeCode = iota
	// ServerError: the server failed; it may have run.
	ServerError
	// Full: turned away unseen.
	Full
	// TimedOut: no answer in time; it may have run and may run still.
	TimedOut
	// ConnectFailed: never sent.
	ConnectFailed
	// Reset: the connection broke; it may have run.
	Reset
	// Cancelled: called off; it may have run.
	Cancelled
	// Superseded: never sent, and the server is not to blame: the request was over, or this node could not.
	Superseded
	// Unusable: the server can't use the request, which is its client's doing; it may have run.
	Unusable
	// Unreachable: never sent, as the network between was at fault; it says
	// nothing of the server itself.
	Unreachable
)

// String names an outcome, for logs and counters.
func (c OutcomeCode) String() string {
	names := [...]string{"ok", "server_error", "rejected", "timed_out", "connect_failed", "reset", "cancelled",
		"superseded", "unusable", "unreachable"}
	if c < 0 || int(c) >= len(names) {
		return "unknown"
	}
	return names[c]
}

// NeverRan tells whether an attempt that ended so has surely not run.
func (c OutcomeCode) NeverRan() bool {
	return c == Full || c == ConnectFailed || c == Superseded || c == Unreachable
}

// Events.
type (
	// RequestArrived is a new request; the module owes it one final answer.
	RequestArrived struct {
		ID       RequestID
		Class    string
		Tenant   string
		Key      string
		Patience time.Duration // until the client stops waiting for this try
		WorkHint time.Duration // expected work, where HasHint
		HasHint  bool
		Repeat   bool // the client has tried before
		Write    bool
	}
	// ListUpdate is news of the servers.
	ListUpdate struct {
		Kind    ListKind
		Version uint64
		Entries []Server
	}
	// AttemptEnded tells how one attempt went. Each Send gets one.
	AttemptEnded struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Over    bool // the request has had its final answer
		Elapsed time.Duration
		Code    OutcomeCode
		Word    bool    // with ServerError: it came as a whole answer, so the process lives
		Report  *Report // nil if none came
	}
	// StreamStarted says that a streamed answer has begun.
	StreamStarted struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Elapsed time.Duration
	}
	// RequestAbandoned says that the client is gone; nothing is owed.
	RequestAbandoned struct{ ID RequestID }
	// ProbeEnded is the result of a Probe.
	ProbeEnded struct {
		Server  ServerID
		Code    OutcomeCode
		Elapsed time.Duration
		Report  *Report
	}
	// MessageReceived comes from another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// TimerFired answers a SetTimer.
	TimerFired struct{ Token int64 }
	// SettingsChanged brings other classes, tenants and bounds. What was
	// learned of servers stays, and requests in hand end under the class that
	// they came under.
	SettingsChanged struct{ Settings Settings }
	// Drained tells that operators have the node take no requests from now on,
	// or that they have it serve again. What was learned is kept, and is not
	// judged by the time between the two. Requests in hand go on.
	Drained struct{ On bool }
)

func (RequestArrived) event()   {}
func (ListUpdate) event()       {}
func (AttemptEnded) event()     {}
func (StreamStarted) event()    {}
func (RequestAbandoned) event() {}
func (ProbeEnded) event()       {}
func (MessageReceived) event()  {}
func (TimerFired) event()       {}
func (SettingsChanged) event()  {}
func (Drained) event()          {}

// Action is something the caller is to do. The types below are all there are.
type Action interface{ action() }

// Cause tells why the module gave up on a request.
type Cause int

// Causes.
const (
	// NoCause is that of none.
	NoCause Cause = iota
	// Shed: dropped by q2 or q1, as no server was normal.
	Shed
	// LineTooLong: its turn among those that wait would come too late.
	LineTooLong
	// Waited: it has waited for a server for as long as it may.
	Waited
	// NoServer: none may get it.
	NoServer
	// Late: no answer could come in time to be worth anything.
	Late
	// NoRetry: an attempt has failed, and no other may be made.
	NoRetry
	// Expired: its deadline came first.
	Expired
	// Causes is how many there are.
	Causes
)

// String names a cause, for tables and labels.
func (c Cause) String() string {
	if c < 0 || c >= Causes {
		return "unknown"
	}
	return [Causes]string{"none", "shed", "line-too-long", "waited", "no-server", "late", "no-retry",
		"expired"}[c]
}

// Actions.
type (
	// Send starts an attempt; a request's attempts count 0, 1, 2 in this order.
	Send struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration // 0: until the client stops waiting
	}
	// Refuse is a final answer: a new try does no harm.
	Refuse struct {
		ID      RequestID
		HoldOff time.Duration // how long the client should wait; 0: no advice
		Cause   Cause
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		ID    RequestID
		Cause Cause
	}
	// CancelAttempt stops waiting for an attempt.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// SetTimer asks for a TimerFired.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// Probe checks a server.
	Probe struct{ Server ServerID }
	// SendMessage goes to one node, or to all.
	SendMessage struct {
		To    int
		ToAll bool
		Data  []byte
	}
	// Subscribe asks discovery for changes from now on, or stops them.
	Subscribe struct{ On bool }
	// FetchList asks discovery for the full list once.
	FetchList struct{}
	// CloseIdle closes this node's idle connections to a server.
	CloseIdle struct{ Server ServerID }
	// Log is a line for the operators.
	Log struct{ Line string }
)

func (Send) action()          {}
func (Refuse) action()        {}
func (Fail) action()          {}
func (CancelAttempt) action() {}
func (SetTimer) action()      {}
func (Probe) action()         {}
func (SendMessage) action()   {}
func (Subscribe) action()     {}
func (FetchList) action()     {}
func (CloseIdle) action()     {}
func (Log) action()           {}
