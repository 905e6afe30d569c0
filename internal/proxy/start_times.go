package proxy

import "dapplefront/policy"

// minWallStep is the smallest step of the wall clock that is taken into account; smaller ones come from reading two clocks.
const minWallStep = policy.Second / 10

// startTimes converts the times at which hosts started to the loop's clock. Endpoint discovery reports them on the wall clock,
// which may be set forward or back while the router runs: a host that has just started must not look warm, nor a warm one
// cold. The conversion of a reported time is kept, because a host whose time changes counts as restarted.
type startTimes map[uint32]startTime

// startTime is when a host started: as reported, and on the loop's clock.
type startTime struct{ reported, converted policy.Time }

// convert returns the time at which a host started on the loop's clock. wallStep is by how much the wall clock has been set
// forward since the loop was created. The time 0 means long ago and stays 0.
func (s startTimes) convert(host uint32, reported, wallStep policy.Time) policy.Time {
	if known, ok := s[host]; ok && known.reported == reported {
		return known.converted
	}
	converted := reported
	if reported != 0 && (wallStep >= minWallStep || wallStep <= -minWallStep) {
		converted = reported - wallStep
	}
	s[host] = startTime{reported, converted}
	return converted
}
