package policy

// TimeoutWithLag is the time that a router may spend on a request whose client waits for another timeout, while the
// router handles due events up to lag late: both the request's last timer and the response sent on giving up would be
// that late. It is 0 if nothing can be done in time; such a request is best rejected at once.
func TimeoutWithLag(timeout, lag Time) Time { return max(0, timeout-lag) }
