package api

// Kinds of events that the watch sends to routers. Each comment names the type of the event's data.
const (
	EventReleaseStatus = "news"      // Release: the status of the newest release
	EventCounts        = "counts"    // Counts
	EventComplaint     = "complaint" // Complaint
	EventPlan          = "plan"      // PlanNotice
)

// Counts are the counted responses of one build in one class.
type Counts struct {
	Build    int     `json:"build"`
	Class    string  `json:"category"`
	Failures int     `json:"bad"`
	Samples  int     `json:"samples"` // all counted responses, including failures
	MeanMs   float64 `json:"meanMs"`  // mean latency
	AgeMs    int64   `json:"ageMs"`   // since the responses were counted
}

// Complaint is a client's complaint about a wrong response.
type Complaint struct {
	Router string `json:"router"`
	Host   uint32 `json:"host"`
	Class  string `json:"category"`
	AgeMs  int64  `json:"ageMs"` // since the request was sent
}

// PlanNotice announces a version of a plan. Routers get the plan itself in a separate request, because it may be far larger than
// an event.
type PlanNotice struct {
	Version uint64 `json:"version"`
}
