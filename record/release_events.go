package record

import (
	"dapplefront/policy"
	"dapplefront/router"
)

// Fields of the message News, which stores a router.ReleaseChanged.
const (
	releaseBuild       = 1
	releaseStage       = 2
	releasePhase       = 3
	releaseExposureCap = 4
	releaseAge         = 5
	releaseVoteResult  = 6
)

func appendReleaseChanged(b *encoder, e router.ReleaseChanged) {
	b.int(releaseBuild, int64(e.Status.Build))
	b.int(releaseStage, int64(e.Status.Stage))
	b.int(releasePhase, int64(e.Status.Phase))
	b.float(releaseExposureCap, e.Status.ExposureCap)
	b.int(releaseAge, int64(e.Status.Age))
	b.int(releaseVoteResult, int64(e.Status.VoteResult))
}

func decodeReleaseChanged(message []byte) (router.Event, error) {
	var e router.ReleaseChanged
	err := eachField(message, func(f field) error {
		switch f.number {
		case releaseBuild:
			e.Status.Build = f.int()
		case releaseStage:
			e.Status.Stage = f.int()
		case releasePhase:
			e.Status.Phase = policy.Phase(f.int())
		case releaseExposureCap:
			e.Status.ExposureCap = f.float()
		case releaseAge:
			e.Status.Age = f.time()
		case releaseVoteResult:
			e.Status.VoteResult = policy.VoteResult(f.int())
		}
		return nil
	})
	return e, err
}

// Fields of the message Counted, which stores a router.StatsReported.
const (
	statsBuild       = 1
	statsClass       = 2
	statsFailures    = 3
	statsSamples     = 4
	statsMeanLatency = 5
	statsAge         = 6
	statsWindow      = 7
)

func appendStatsReported(b *encoder, e router.StatsReported) {
	b.int(statsBuild, int64(e.Build))
	b.text(statsClass, e.Class)
	b.int(statsFailures, int64(e.Failures))
	b.int(statsSamples, int64(e.Samples))
	b.int(statsMeanLatency, int64(e.MeanLatency))
	b.int(statsAge, int64(e.Age))
	b.int(statsWindow, int64(e.Window))
}

func decodeStatsReported(message []byte) (router.Event, error) {
	var e router.StatsReported
	err := eachField(message, func(f field) error {
		switch f.number {
		case statsBuild:
			e.Build = f.int()
		case statsClass:
			e.Class = f.text()
		case statsFailures:
			e.Failures = f.int()
		case statsSamples:
			e.Samples = f.int()
		case statsMeanLatency:
			e.MeanLatency = f.time()
		case statsAge:
			e.Age = f.time()
		case statsWindow:
			e.Window = f.time()
		}
		return nil
	})
	return e, err
}

// Fields of the message Heard, which stores a router.GossipReceived.
const (
	gossipPeer = 1
	gossipBody = 2
)

func appendGossipReceived(b *encoder, e router.GossipReceived) {
	b.int(gossipPeer, int64(e.Peer))
	b.text(gossipBody, e.Body)
}

func decodeGossipReceived(message []byte) (router.Event, error) {
	var e router.GossipReceived
	err := eachField(message, func(f field) error {
		switch f.number {
		case gossipPeer:
			e.Peer = f.int()
		case gossipBody:
			e.Body = f.text()
		}
		return nil
	})
	return e, err
}
