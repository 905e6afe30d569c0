package api

// Kinds of the watch's events that routers are sent.
const (
	EventReleaseStatus = "news"      // Release: the newest release's status
	EventCounts        = "counts"    // Counts
	EventComplaint     = "complaint" // Complaint
	EventPlan          = "plan"      // PlanNotice
)

// Counts is what was counted of one build and class.
type Counts struct {
	Build    int     `json:"build"`
	Class    string  `json:"category"`
	Failures int     `json:"bad"`
	Samples  int     `json:"samples"`
	MeanMs   float64 `json:"meanMs"`
	AgeMs    int64   `json:"ageMs"`
}

// Complaint is a client's statement that an answer was wrong.
type Complaint struct {
	Router string `json:"router"`
	Host   uint32 `json:"host"`
	Class  string `json:"category"`
	AgeMs  int64  `json:"ageMs"` // since the request was sent
}

// PlanNotice says that a version of a plan is there. The plan itself is read apart, as it may be far larger than an event.
type PlanNotice struct {
	Version uint64 `json:"version"`
}
