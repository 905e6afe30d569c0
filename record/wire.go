package record

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"dapplefront/plan"
	"dapplefront/policy"
	"dapplefront/router"
)

// Entry is one event with what followed.
type Entry struct {
	Number  uint64
	At      policy.Time
	Config  *router.Config // a router's start, instead of an event
	Event   router.Event
	Actions []router.Action
}

// out writes fields; zero values are left out, as proto3 has it.
type out []byte

func (b *out) number(field protowire.Number, v uint64) {
	if v != 0 {
		*b = protowire.AppendVarint(protowire.AppendTag(*b, field, protowire.VarintType), v)
	}
}

func (b *out) int(field protowire.Number, v int64) { b.number(field, uint64(v)) }

func (b *out) bool(field protowire.Number, v bool) {
	if v {
		b.number(field, 1)
	}
}

func (b *out) float(field protowire.Number, v float64) {
	if v != 0 {
		*b = protowire.AppendFixed64(protowire.AppendTag(*b, field, protowire.Fixed64Type), math.Float64bits(v))
	}
}

func (b *out) text(field protowire.Number, v string) {
	if v != "" {
		*b = protowire.AppendString(protowire.AppendTag(*b, field, protowire.BytesType), v)
	}
}

// message writes a message that is there, even if it is empty. Most are short: the length is put before them at the end.
func (b *out) message(field protowire.Number, fill func(b *out)) {
	*b = protowire.AppendTag(*b, field, protowire.BytesType)
	at := len(*b)
	fill(b)
	n := len(*b) - at
	size := protowire.SizeVarint(uint64(n))
	*b = append(*b, make([]byte, size)...)
	copy((*b)[at+size:], (*b)[at:at+n])
	protowire.AppendVarint((*b)[at:at], uint64(n))
}

// hidden says what stands for a key or a customer in a record.
type hidden func(string) string

func appendEntry(b out, e *Entry, hide hidden) (out, error) {
	b.number(1, e.Number)
	b.int(2, int64(e.At))
	switch {
	case e.Config != nil:
		if err := appendPlace(&b, 3, *e.Config, hide); err != nil {
			return b, err
		}
	default:
		if err := appendEvent(&b, e.Event, hide); err != nil {
			return b, err
		}
	}
	for _, a := range e.Actions {
		b.message(15, func(b *out) { appendAction(b, a) })
	}
	return b, nil
}

// appendPlace writes a place as JSON, with customers not named.
func appendPlace(b *out, field protowire.Number, p router.Config, hide hidden) error {
	named := p.Tenants
	p.Tenants = nil
	for _, c := range named {
		c.Name = hide(c.Name)
		p.Tenants = append(p.Tenants, c)
	}
	text, err := marshalConfig(p)
	b.message(field, func(b *out) { b.text(1, string(text)) })
	return err
}

func readPlace(b []byte) (p *router.Config, err error) {
	err = fields(b, func(f field) (err error) {
		if f.number == 1 {
			p, err = unmarshalConfig(f.bytes)
		}
		return err
	})
	return p, err
}

func appendLoad(b *out, field protowire.Number, l *policy.LoadReport) {
	if l == nil {
		return
	}
	b.message(field, func(b *out) {
		b.float(1, l.ActiveRequests)
		b.float(2, l.QueuedRequests)
		b.float(3, l.CPUUtilization)
		b.float(4, l.MeanLatency)
		b.float(5, l.RequestsPerSecond)
	})
}

func readLoad(b []byte) (*policy.LoadReport, error) {
	l := &policy.LoadReport{}
	at := []*float64{&l.ActiveRequests, &l.QueuedRequests, &l.CPUUtilization, &l.MeanLatency, &l.RequestsPerSecond}
	return l, fields(b, func(f field) error {
		if f.number >= 1 && int(f.number) <= len(at) {
			*at[f.number-1] = f.float()
		}
		return nil
	})
}

func appendEvent(b *out, event router.Event, hide hidden) error {
	switch e := event.(type) {
	case router.RequestArrived:
		b.message(4, func(b *out) {
			b.text(1, e.RequestID)
			b.text(2, e.Class)
			b.text(3, hide(e.Tenant))
			b.text(4, hide(e.Key))
			b.int(5, int64(e.Timeout))
			b.int(6, int64(e.ExpectedWork))
			b.bool(7, e.ClientRetry)
		})
	case router.AttemptEnded:
		b.message(5, func(b *out) {
			b.text(1, e.RequestID)
			b.int(2, int64(e.Attempt))
			b.int(3, int64(e.Outcome))
			b.int(4, int64(e.Latency))
			b.bool(5, e.Done)
			appendLoad(b, 6, e.Load)
		})
	case router.ResponseStarted:
		b.message(6, func(b *out) { b.text(1, e.RequestID); b.int(2, int64(e.Attempt)) })
	case router.ClientGone:
		b.message(7, func(b *out) { b.text(1, e.RequestID) })
	case router.EndpointsChanged:
		b.message(8, func(b *out) {
			b.bool(1, e.Complete)
			for _, h := range e.Hosts {
				b.message(2, func(b *out) {
					b.number(1, uint64(h.ID))
					b.text(2, h.Zone)
					b.int(3, int64(h.Cell))
					b.int(4, int64(h.State))
					b.int(5, int64(h.Build))
					b.float(6, h.Weight)
					b.int(7, int64(h.StartedAt))
				})
			}
		})
	case router.EndpointsUnavailable:
		b.bool(9, true)
	case router.ReleaseChanged:
		b.message(10, func(b *out) {
			b.int(1, int64(e.Status.Build))
			b.int(2, int64(e.Status.Stage))
			b.int(3, int64(e.Status.Phase))
			b.float(4, e.Status.ExposureCap)
			b.int(5, int64(e.Status.Age))
			b.int(6, int64(e.Status.VoteResult))
		})
	case router.StatsReported:
		b.message(11, func(b *out) {
			b.int(1, int64(e.Build))
			b.text(2, e.Class)
			b.int(3, int64(e.Failures))
			b.int(4, int64(e.Samples))
			b.int(5, int64(e.MeanLatency))
			b.int(6, int64(e.Age))
			b.int(7, int64(e.Window))
		})
	case router.ComplaintReceived:
		b.message(12, func(b *out) { b.number(1, uint64(e.Host)); b.text(2, e.Class); b.int(3, int64(e.Age)) })
	case router.TimerFired:
		b.int(13, e.Timer+1)
	case router.ConfigChanged:
		return appendPlace(b, 16, e.Config, hide)
	case router.GossipReceived:
		b.message(17, func(b *out) { b.int(1, int64(e.Peer)); b.text(2, e.Body) })
	case router.HealthChecked:
		b.message(18, func(b *out) {
			b.number(1, uint64(e.Host))
			b.int(2, int64(e.Outcome))
			b.int(3, int64(e.Latency))
			appendLoad(b, 4, e.Load)
		})
	case router.PlanOffered:
		b.message(14, func(b *out) {
			o := e.Offer
			b.number(1, o.Version)
			b.int(2, int64(o.Build))
			b.float(3, o.ShadowShare)
			b.float(4, o.CrossZoneShare)
			b.int(5, int64(o.ValidFor))
			for i, side := range [][]plan.HostWeight{o.LocalWeights, o.RemoteWeights} {
				for _, p := range side {
					b.message(protowire.Number(6+i), func(b *out) { b.number(1, uint64(p.Host)); b.float(2, p.Weight) })
				}
			}
		})
	default:
		return fmt.Errorf("an event of type %T, which records don't know", event)
	}
	return nil
}

func appendAction(b *out, a router.Action) {
	b.int(1, int64(a.Kind))
	b.text(2, a.RequestID)
	b.int(3, int64(a.Attempt))
	b.number(4, uint64(a.Host))
	b.int(5, int64(a.Duration))
	b.int(6, a.Timer)
	b.int(7, int64(a.Build))
	b.int(8, int64(a.Stage))
	b.int(9, int64(a.Choice))
	b.text(10, a.Text)
	b.number(11, a.PlanVersion)
	b.bool(12, a.IsShadow)
	b.int(13, int64(a.Peer))
	b.text(14, a.Body)
}

// field is one that was read.
type field struct {
	number protowire.Number
	n      uint64
	bytes  []byte
}

func (f field) int() int          { return int(int64(f.n)) }
func (f field) time() policy.Time { return policy.Time(f.n) }
func (f field) float() float64    { return math.Float64frombits(f.n) }
func (f field) text() string      { return string(f.bytes) }

var errMalformed = errors.New("an entry that is no protobuf message")

// fields reads a message; fields that this version doesn't know are passed all the same.
func fields(b []byte, each func(f field) error) error {
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		f := field{number: number}
		switch kind {
		case protowire.VarintType:
			f.n, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			f.n, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(number, kind, b)
		}
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		if err := each(f); err != nil {
			return err
		}
	}
	return nil
}

func readEntry(b []byte) (e Entry, err error) {
	err = fields(b, func(f field) error {
		switch f.number {
		case 1:
			e.Number = f.n
		case 2:
			e.At = f.time()
		case 3:
			e.Config, err = readPlace(f.bytes)
			return err
		case 4:
			x := router.RequestArrived{}
			err := fields(f.bytes, func(f field) error {
				switch f.number {
				case 1:
					x.RequestID = f.text()
				case 2:
					x.Class = f.text()
				case 3:
					x.Tenant = f.text()
				case 4:
					x.Key = f.text()
				case 5:
					x.Timeout = f.time()
				case 6:
					x.ExpectedWork = f.time()
				case 7:
					x.ClientRetry = f.n != 0
				}
				return nil
			})
			e.Event = x
			return err
		case 5:
			x := router.AttemptEnded{}
			err := fields(f.bytes, func(f field) error {
				switch f.number {
				case 1:
					x.RequestID = f.text()
				case 2:
					x.Attempt = f.int()
				case 3:
					x.Outcome = policy.Outcome(f.int())
				case 4:
					x.Latency = f.time()
				case 5:
					x.Done = f.n != 0
				case 6:
					var err error
					x.Load, err = readLoad(f.bytes)
					return err
				}
				return nil
			})
			e.Event = x
			return err
		case 6:
			x := router.ResponseStarted{}
			err := fields(f.bytes, func(f field) error {
				if f.number == 1 {
					x.RequestID = f.text()
				} else if f.number == 2 {
					x.Attempt = f.int()
				}
				return nil
			})
			e.Event = x
			return err
		case 7:
			x := router.ClientGone{}
			err := fields(f.bytes, func(f field) error {
				if f.number == 1 {
					x.RequestID = f.text()
				}
				return nil
			})
			e.Event = x
			return err
		case 8:
			x := router.EndpointsChanged{}
			err := fields(f.bytes, func(f field) error {
				if f.number == 1 {
					x.Complete = f.n != 0
				} else if f.number == 2 {
					h, err := readHost(f.bytes)
					x.Hosts = append(x.Hosts, h)
					return err
				}
				return nil
			})
			e.Event = x
			return err
		case 9:
			e.Event = router.EndpointsUnavailable{}
		case 10:
			x := router.ReleaseChanged{}
			err := fields(f.bytes, func(f field) error {
				switch f.number {
				case 1:
					x.Status.Build = f.int()
				case 2:
					x.Status.Stage = f.int()
				case 3:
					x.Status.Phase = policy.Phase(f.int())
				case 4:
					x.Status.ExposureCap = f.float()
				case 5:
					x.Status.Age = f.time()
				case 6:
					x.Status.VoteResult = policy.VoteResult(f.int())
				}
				return nil
			})
			e.Event = x
			return err
		case 11:
			x := router.StatsReported{}
			err := fields(f.bytes, func(f field) error {
				switch f.number {
				case 1:
					x.Build = f.int()
				case 2:
					x.Class = f.text()
				case 3:
					x.Failures = f.int()
				case 4:
					x.Samples = f.int()
				case 5:
					x.MeanLatency = f.time()
				case 6:
					x.Age = f.time()
				case 7:
					x.Window = f.time()
				}
				return nil
			})
			e.Event = x
			return err
		case 12:
			x := router.ComplaintReceived{}
			err := fields(f.bytes, func(f field) error {
				switch f.number {
				case 1:
					x.Host = uint32(f.n)
				case 2:
					x.Class = f.text()
				case 3:
					x.Age = f.time()
				}
				return nil
			})
			e.Event = x
			return err
		case 13:
			e.Event = router.TimerFired{Timer: int64(f.n) - 1}
		case 14:
			x := router.PlanOffered{}
			err := readPlanned(f.bytes, &x.Offer)
			e.Event = x
			return err
		case 15:
			a, err := readAction(f.bytes)
			e.Actions = append(e.Actions, a)
			return err
		case 16:
			p, err := readPlace(f.bytes)
			if p != nil {
				e.Event = router.ConfigChanged{Config: *p}
			}
			return err
		case 17:
			x := router.GossipReceived{}
			err := fields(f.bytes, func(f field) error {
				if f.number == 1 {
					x.Peer = f.int()
				} else if f.number == 2 {
					x.Body = f.text()
				}
				return nil
			})
			e.Event = x
			return err
		case 18:
			x := router.HealthChecked{}
			err := fields(f.bytes, func(f field) (err error) {
				switch f.number {
				case 1:
					x.Host = uint32(f.n)
				case 2:
					x.Outcome = policy.Outcome(f.int())
				case 3:
					x.Latency = f.time()
				case 4:
					x.Load, err = readLoad(f.bytes)
				}
				return err
			})
			e.Event = x
			return err
		}
		return nil
	})
	if err == nil && e.Config == nil && e.Event == nil {
		err = errors.New("an entry without an event, or with one that this version doesn't know")
	}
	return e, err
}

func readHost(b []byte) (h router.Host, err error) {
	err = fields(b, func(f field) error {
		switch f.number {
		case 1:
			h.ID = uint32(f.n)
		case 2:
			h.Zone = f.text()
		case 3:
			h.Cell = f.int()
		case 4:
			h.State = policy.EndpointState(f.int())
		case 5:
			h.Build = f.int()
		case 6:
			h.Weight = f.float()
		case 7:
			h.StartedAt = f.time()
		}
		return nil
	})
	return h, err
}

func readPlanned(b []byte, o *plan.Offered) error {
	return fields(b, func(f field) error {
		switch f.number {
		case 1:
			o.Version = f.n
		case 2:
			o.Build = f.int()
		case 3:
			o.ShadowShare = f.float()
		case 4:
			o.CrossZoneShare = f.float()
		case 5:
			o.ValidFor = time.Duration(f.n)
		case 6, 7:
			p := plan.HostWeight{}
			if err := fields(f.bytes, func(f field) error {
				if f.number == 1 {
					p.Host = uint32(f.n)
				} else if f.number == 2 {
					p.Weight = f.float()
				}
				return nil
			}); err != nil {
				return err
			}
			if f.number == 6 {
				o.LocalWeights = append(o.LocalWeights, p)
			} else {
				o.RemoteWeights = append(o.RemoteWeights, p)
			}
		}
		return nil
	})
}

func readAction(b []byte) (a router.Action, err error) {
	err = fields(b, func(f field) error {
		switch f.number {
		case 1:
			a.Kind = router.ActionKind(f.int())
		case 2:
			a.RequestID = f.text()
		case 3:
			a.Attempt = f.int()
		case 4:
			a.Host = uint32(f.n)
		case 5:
			a.Duration = f.time()
		case 6:
			a.Timer = int64(f.n)
		case 7:
			a.Build = f.int()
		case 8:
			a.Stage = f.int()
		case 9:
			a.Choice = policy.VoteChoice(f.int())
		case 10:
			a.Text = f.text()
		case 11:
			a.PlanVersion = f.n
		case 12:
			a.IsShadow = f.n != 0
		case 13:
			a.Peer = f.int()
		case 14:
			a.Body = f.text()
		}
		return nil
	})
	return a, err
}
