package record

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"dapplefront/plan"
	"dapplefront/router"
)

// Fields of the message Planned, which stores a router.PlanOffered.
const (
	planVersion        = 1
	planBuild          = 2
	planShadowShare    = 3
	planCrossZoneShare = 4
	planValidFor       = 5 // nanoseconds
	planLocalWeight    = 6
	planRemoteWeight   = 7
)

func appendPlanOffered(b *encoder, e router.PlanOffered) {
	b.uint(planVersion, e.Offer.Version)
	b.int(planBuild, int64(e.Offer.Build))
	b.float(planShadowShare, e.Offer.ShadowShare)
	b.float(planCrossZoneShare, e.Offer.CrossZoneShare)
	b.int(planValidFor, int64(e.Offer.ValidFor))
	appendHostWeights(b, planLocalWeight, e.Offer.LocalWeights)
	appendHostWeights(b, planRemoteWeight, e.Offer.RemoteWeights)
}

func decodePlanOffered(message []byte) (router.Event, error) {
	var e router.PlanOffered
	err := eachField(message, func(f field) error {
		switch f.number {
		case planVersion:
			e.Offer.Version = f.value
		case planBuild:
			e.Offer.Build = f.int()
		case planShadowShare:
			e.Offer.ShadowShare = f.float()
		case planCrossZoneShare:
			e.Offer.CrossZoneShare = f.float()
		case planValidFor:
			e.Offer.ValidFor = time.Duration(f.value)
		case planLocalWeight:
			w, err := decodeHostWeight(f.bytes)
			e.Offer.LocalWeights = append(e.Offer.LocalWeights, w)
			return err
		case planRemoteWeight:
			w, err := decodeHostWeight(f.bytes)
			e.Offer.RemoteWeights = append(e.Offer.RemoteWeights, w)
			return err
		}
		return nil
	})
	return e, err
}

// Fields of the message Part, which stores a plan.HostWeight.
const (
	weightHost  = 1
	weightValue = 2
)

func appendHostWeights(b *encoder, number protowire.Number, weights []plan.HostWeight) {
	for _, w := range weights {
		b.message(number, func(b *encoder) {
			b.uint(weightHost, uint64(w.Host))
			b.float(weightValue, w.Weight)
		})
	}
}

func decodeHostWeight(message []byte) (w plan.HostWeight, err error) {
	err = eachField(message, func(f field) error {
		switch f.number {
		case weightHost:
			w.Host = f.uint32()
		case weightValue:
			w.Weight = f.float()
		}
		return nil
	})
	return w, err
}
