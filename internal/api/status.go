package api

// Status is a controller's view of its own status.
type Status struct {
	Name         string            `json:"name"`
	IsLeader     bool              `json:"leads"`
	Leader       string            `json:"leader,omitempty"`
	LagMs        int64             `json:"behindMs"` // since the controller's last contact with the leader; 0 on the leader
	Version      uint64            `json:"version"`  // log index of the last applied command
	Events       uint64            `json:"events"`   // id of the newest event
	Routers      int               `json:"routers"`  // number of member routers
	Watchers     int               `json:"watchers"` // number of current watchers
	SlowWatchers int               `json:"slow"`     // number of slow watchers disconnected since the controller started
	Members      map[string]string `json:"members"`  // members of the Raft group: addresses by name
}

// Controller holds the addresses of another controller.
type Controller struct {
	Address string `json:"address,omitempty"` // Raft address; if set, the controller is added to the Raft group
	URL     string `json:"url,omitempty"`     // URL of its REST interface
}

// Problem is a problem document as in RFC 9457, with the name of the invalid field of the request.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Field  string `json:"field,omitempty"`
}
