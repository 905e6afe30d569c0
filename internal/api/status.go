package api

// Status is how a controller stands, as it sees itself.
type Status struct {
	Name         string            `json:"name"`
	IsLeader     bool              `json:"leads"`
	Leader       string            `json:"leader,omitempty"`
	LagMs        int64             `json:"behindMs"` // since it heard of the leader
	Version      uint64            `json:"version"`  // log index of the last command applied
	Events       uint64            `json:"events"`   // id of the newest event
	Routers      int               `json:"routers"`  // that are members
	Watchers     int               `json:"watchers"`
	SlowWatchers int               `json:"slow"`    // cut off since it started
	Members      map[string]string `json:"members"` // of the Raft group: addresses by name
}

// Controller is where another controller is reached.
type Controller struct {
	Address string `json:"address,omitempty"` // for Raft: takes it into the group
	URL     string `json:"url,omitempty"`     // of its REST interface
}

// Problem is an error in the form of RFC 9457, with the field of the request that was wrong.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Field  string `json:"field,omitempty"`
}
