// Package logic decides where tasks go while a fleet's build is being replaced.
// This file is its interface: the trade's nouns, what a Router is told and what it asks for.
package logic

// Time is a moment or a span in whole tenths of a millisecond.
type Time int64

// Second is the unit that long spans are written in.
const Second Time = 10_000

// Repeat says what running a task twice would do.
type Repeat int

const (
	Retriable     Repeat = iota // harmless
	Fingerprinted               // a mark lets hosts of one group drop the repeat for a while
	Binding                     // it must never run twice
)

// Group is the set of hosts that drop each other's repeats.
type Group int

const (
	Everywhere Group = iota
	SameLocation
	SameCell
)

// Category is a kind of task.
type Category struct {
	Repeat    Repeat
	Group     Group
	Memory    Time // how long a group drops repeats
	Promised  Time // answered within this it earns in full
	Earnings  float64
	LateShare float64 // share of the earnings left after the promised time

	took []Time    // what finished sends took lately
	work []float64 // the same, less what the host's other tasks added
	mid  Time      // what it usually takes at a host that holds nothing else
	odds float64   // that the build on trial fails it
	calm Time      // mid when the build on trial was first told
	out  int       // sends out where they may be told, as waits counted last
	seen rush      // what became of own sends lately
	told rush      // and of peers', as they told
}

// Customer is whoever pays for a task.
type Customer struct {
	PerSecond float64 // tasks a second, over all routers, that earn in full

	taken []moment
}

// Location is where hosts and routers stand. It is told by its address alone, so it must not be of size zero.
type Location struct{ _ byte }

// Standing is what the host list says of a host.
type Standing int

const (
	Serving Standing = iota
	Draining
	Gone
)

// Host is one machine; a later process or machine under the same id is the same Host with a new Up.
type Host struct {
	ID       uint32 // for an order that is the same everywhere, nothing else
	Location *Location
	Cell     int
	Standing Standing
	Build    int
	Size     float64
	Up       Time // when its process last started; 0 is long ago

	listed bool
	health health
	until  Time // when its health is looked at anew
	left   Time // when it was told to drain or to be gone
	open   []*Send
	sent   []moment
	past   []sample
	load   *Load
	loadAt Time
	linkAt Time      // when a send over a link to it last ended
	words  [3]repute // own, told by who met the host, and passed on once
	part   float64   // of the tasks of its side, as a plan has it; in a unit that all share
}

// Listing is what the host list says of one host; whoever calls turns lists into changes.
type Listing struct {
	Host     *Host
	Location *Location
	Cell     int
	Standing Standing
	Build    int
	Size     float64
	Up       Time
}

// Course is a plan of shares worked out ahead: a hint, which the router's own view goes before.
type Course struct {
	Parts map[*Host]float64
	Cross float64 // share of the tasks that start far away
	Until Time    // it is not followed from then on
}

// Load is what a host reports of itself; a negative figure was not reported.
type Load struct{ Active, Waiting, Busy, Service, Rate float64 }

// Task is one call that the router has taken.
type Task struct {
	Category *Category
	Customer *Customer // nil where there are none
	Key      string
	Patience Time // how long the client goes on waiting
	Hint     Time // expected work, 0 where not told
	Again    bool // the client says that it tries again

	Sends []*Send

	at    Time
	state taskState
	risky *Send // the first send that may have run
}

// Over tells whether the task has had its final answer.
func (t *Task) Over() bool { return t.state == over }

// Send is one try of a task at a host.
type Send struct {
	Task *Task
	Host *Host

	fate  Fate
	at    Time
	build int
	up    Time
	fair  Time // what a lone copy would be given
	held  float64
	role  role
	began bool
}

// Copied tells a send that was made to judge the build on trial: beside its original, or before it.
func (s *Send) Copied() bool { return s.role == copied || s.role == lone }

// Fate is how a send ended.
type Fate int

const (
	Out        Fate = iota
	Finished        // answered
	Errored         // answered with an error; it may have run
	TurnedBack      // rejected unseen
	NoAnswer        // no answer in time; it may have run
	NoLink          // no connection in time; it never ran
	Cut             // the connection dropped; it may have run
	CalledOff       // the router stopped waiting; it may have run
	NeverSent       // it never left
)

// Phase is where a release stands.
type Phase int

const (
	OnTrial Phase = iota
	GoingBack
	Released
	Withdrawn
)

// Answer is what became of a vote.
type Answer int

const (
	Unasked Answer = iota // news that no vote asked for
	Counted               // the vote stands
	Moot                  // not the present build or stage
	Refused               // too many votes, or an error: it does not count
	Unclear               // no reply: it may count
)

// News is what the release desk tells.
type News struct {
	Build, Stage int
	Phase        Phase
	Cap          float64
	Age          Time
	Answer       Answer
}

// Count is what the release desk counted for one build and category over a period.
type Count struct {
	Build        int
	Category     *Category
	Bad, Samples int
	Mean         Time
	Age          Time

	Over Time // the span that was counted

	at    Time
	hosts int     // that ran the build when the count came
	warm  float64 // share of them that were warm when its span began
	cold  float64 // log of how much longer they take for the cold, at the most
}

// Voice is what a vote says.
type Voice int

const (
	NoVote Voice = iota
	On
	Hold
	Back
)

// Control is how the desk moves a build on.
type Control int

const (
	AnyVote Control = iota
	ShareOfVotes
	Clock
)

// Desk is what the release desk told at start.
type Desk struct {
	Control      Control
	Caps         []float64 // by stage
	LeastTime    Time      // of a stage
	ClockTime    Time      // of a stage, under Clock
	ToMoveOn     int       // votes that move a stage on
	ToAbort      int       // votes that send a build back
	VoteLife     Time
	VoteTimeout  Time
	VotesASecond float64 // from all routers together
	Window       Time    // of the rule on exposure
	Free         float64
	ByCategory   bool
	Guarded      int // stages that take retriable tasks only
	KeysStay     bool
	DelayPrice   float64
	HarmPrice    float64
	Complaints   float64 // share of the wrong answers that is reported
	Counted      float64 // share of the sends in the desk's counts
}

// Limits are the rules' figures and what the place allows.
type Limits struct {
	Grace       Time
	Cold        Time
	ColdShare   float64
	Tip         float64
	TipFor      Time
	AskWithin   Time
	MaxSends    int
	MaxOpen     int
	TwoAtOnce   bool
	LongestStay Time // that a turn-back may name as a time to come back; 0 for none
	Pushed      bool // the host list comes by itself
	Peers       int  // most bytes of a message to another router; 0 where there are none
	Probes      bool // hosts may be probed
	CrossPrice  float64
	WastePrice  float64
	OverShare   float64
}

// Hands carry out what a Router decides.
type Hands interface {
	Send(s *Send, within Time)
	TurnBack(t *Task, stay Time)
	Scrap(t *Task)
	WakeUp(in Time, what *Alarm)
	WatchHosts()
	Vote(build, stage int, voice Voice)
	Note(text string)
	Tell(peer int, body []byte) // peer is a rank, or Everyone
	Probe(h *Host)
}

// Everyone stands for the ranks of all peers.
const Everyone = -1

// Alarm is a call that the router asked for.
type Alarm struct {
	send *Send
	list bool
}

// Place is all that a router is told when it starts.
type Place struct {
	Seed       uint64
	Routers    int
	Rank       int // this router's number among them, from 0
	Location   *Location
	Categories []*Category
	Limits     Limits
	Desk       Desk
}

// sample is one ended send, kept for the figures made of it.
type sample struct {
	at, took, age Time
	host          *Host
	cat           *Category
	fate          Fate
	hasty         bool // its client waited less than the promised time
	held, strain  float64
	pace          float64 // strain, less what the host's other tasks added
}

// book keeps the last samples of one build.
type book struct {
	build   int
	samples []sample
	wrong   []sample
}

type moment struct {
	at         Time
	cat        *Category
	side       int
	fate       Fate
	late       bool // beyond the promised time
	took, work Time // how long a send was out, and its usual time where it was answered
}

type ballot struct {
	state ballotState
	voice Voice
	at    Time
}

// Router is one instance's mind; it shares nothing with others.
type Router struct {
	hands    Hands
	seed     uint64
	drawn    uint64
	now      Time
	born     Time
	routers  int
	rank     int
	location *Location
	cats     []*Category
	limits   Limits
	desk     Desk
	hosts    []*Host
	news     News
	heard    bool
	work     [2]struct { // near and far: work answered lately, as of a moment
		at, span     Time
		done, strain float64
		last         tally
	}
	usual struct { // sends that a host gets from this router, as of a moment
		at   Time
		rate float64
	}
	crowd   float64  // what each task that a host holds adds to the time of the next, as a share
	recent  []sample // finished sends at earlier builds
	live    int      // the newest build known to be released, and since when
	liveAt  Time
	dropped int   // the newest build known to go back, or to have gone
	offered Time  // when the newest build was first told
	staged  Time  // when the present stage was first told
	swell   swell // how the fleet has slowed during the trial, and since when
	surged  Time
	quickAt Time      // when the fleet was last about as quick as before the trial
	reports []float64 // what hosts last reported to hold
	taken   []moment
	tried   []moment
	flow    []moment
	done    []moment
	begun   int // number of the first of done among all that ever were
	extra   []moment
	kept    map[string]int
	books   []*book
	counts  []Count
	ballot  ballot
	lost    int  // list calls that failed in a row
	asked   Time // when the list was asked for last
	course  Course
	muster  muster
	here    []*Host // scratch for choices among hosts, so that these take no memory
	there   []*Host
	known   []*Host
	weights []float64 // scratch for shares, and for parts of a plan
	planned []float64
	laden   float64   // what a host holds, as the desk counted last
	ways    [2]repute // own sends of the sides lately
	shut    bool      // the way to the far side is poor
	toldWay repute    // of the far side, told by those nearby
	fellows []int     // peers nearby that were heard last
	voices  float64   // peers heard lately, faded
	heardAt Time
	blames  map[int]int // complaints by build, of all routers
	unsaid  map[int]int // and own ones that no peer has been told
}

// muster is what hosts add up to, kept as sends come and go and counted anew once hosts or news have changed.
type muster struct {
	counted bool
	well    [2]int // hosts of a side that are fit and whose build is not on trial
	out     [2]int // sends out at these
	sick    int
	all     int // whose build is not on trial; newest is the newest of these builds, which latest of them run
	newest  int
	latest  int
	able    float64 // what hosts whose build is not on trial can do, as of a moment
	ableAt  Time
}

// tally is one side's last answers, with running sums of those in a window: whole numbers, so that their order is no
// matter.
type tally struct {
	all        []answer
	first      int // of all that lies in the window
	work, took Time
}

// answer is one finished send, by its number among all that ended.
type answer struct {
	number         int
	at, work, took Time
}

type (
	taskState   int
	taskInput   int
	role        int
	health      int
	healthInput int
	swell       int
	swellInput  int
	ballotState int
	ballotInput int
)

const (
	near = iota
	far
)

const (
	clean taskState = iota // nothing sent may have run
	risky                  // something sent may have run
	over
)

const (
	arrives taskInput = iota
	neverRan
	mayHaveRun
	lingers // still out, longer than usual
	ends    // answered, or the client has gone
)

const (
	original role = iota
	copied        // beside its original
	lone          // before its original, where two at once are forbidden or the category has an effect
	further
)

const (
	fit health = iota
	sick
	shunned
)

const (
	fails healthInput = iota
	works
	refuses
	steady
)

const (
	level swell = iota
	paused
	watched
	proven
)

const (
	swelling swellInput = iota
	ebbing
	lasting
)

const (
	quiet ballotState = iota
	asked
	stands
)

const (
	wants  ballotInput = iota // the verdict differs from what stands, or that will soon run out
	silent                    // no answer in time
	counts
	drops // refused, moot or unclear
)

// Rows of the tables by which decisions are read: state, input, next state, effect.
type (
	taskRow struct {
		state taskState
		input taskInput
		next  taskState
		do    func(*Router, *Task)
	}
	healthRow struct {
		state health
		input healthInput
		next  health
		rest  Time
	}
	swellRow struct {
		state swell
		input swellInput
		next  swell
	}
	ballotRow struct {
		state ballotState
		input ballotInput
		next  ballotState
		cast  bool
	}
)

// word is what one host's samples say of its build.
type word struct {
	host         *Host
	n, bad, slow float64 // slow sums up logs of paces
}

// part is how many tries of a kind went bad, and the share of them that usually does.
type part struct{ bad, n, usual float64 }
