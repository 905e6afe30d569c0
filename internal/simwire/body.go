package simwire

import (
	"encoding/base64"
	"strconv"
	"strings"

	"dapplefront/internal/platformsettings"
)

// codes are the valid results of attempts and health checks.
var codes = []string{CodeServed, CodeServerError, CodeTurnedAway, CodeNoAnswer, CodeNoConnection, CodeConnectionLost, CodeCalledOff,
	CodeNotSent}

// bodyReaders read the values of an event from its line, in their order on the wire. The keys are the names of events.
var bodyReaders = map[string]func(*Reader, *lineParser) any{
	"LAUNCH": readLaunch,
	"VIEW":   (*Reader).readView,
	"INCOMING": func(_ *Reader, p *lineParser) any {
		return Incoming{p.required("a request id"), p.required("a class"), p.part(), p.part(),
			p.integer("the patience left"), p.integer("a work hint"), p.integer("marks")}
	},
	"ACK_FIRST": func(_ *Reader, p *lineParser) any {
		return AckFirst{p.required("a request id"), int(p.integer("an attempt"))}
	},
	"ENDED": func(_ *Reader, p *lineParser) any {
		return Ended{p.required("a request id"), int(p.integer("an attempt")), p.host(), p.oneOf("an outcome", codes...),
			p.integer("a time"), p.bool(), p.numbers()}
	},
	"DUE": func(_ *Reader, p *lineParser) any { return Due{p.integer("a mark")} },
	"TIMED_OUT_CLIENT": func(_ *Reader, p *lineParser) any {
		return TimedOutClient{p.required("a request id")}
	},
	"PHASE_TOLD": func(_ *Reader, p *lineParser) any {
		return PhaseTold{int(p.integer("a build")), int(p.integer("a stage")), int(p.integer("a phase")), p.bool(),
			p.oneOf("an answer", CodeServed, CodeNotSent, CodeTurnedAway, CodeServerError, CodeNoAnswer),
			p.float("a cap"), p.integer("an age")}
	},
	"COUNTS_BY_BUILD": func(_ *Reader, p *lineParser) any {
		return CountsByBuild{int(p.integer("a build")), int(p.integer("a count")), int(p.integer("a count")),
			p.integer("a time"), p.required("a class"), p.integer("an age")}
	},
	"BAD_ANSWER": func(_ *Reader, p *lineParser) any {
		return BadAnswer{p.host(), p.required("a class"), p.integer("an age")}
	},
	"KILL":      func(*Reader, *lineParser) any { return Kill{} },
	"FROM_PEER": readFromPeer,
	"HEALTH_RESULT": func(_ *Reader, p *lineParser) any {
		return HealthResult{p.integer("a time"), p.oneOf("an outcome", codes...), p.host(), p.numbers()}
	},
}

// readBody reads the rest of an event's line. The lineParser stores the first error.
func (r *Reader) readBody(name string, p *lineParser) any {
	read, ok := bodyReaders[name]
	if !ok {
		p.fail("the name of a known event")
		return nil
	}
	return read(r, p)
}

// readView reads a VIEW and looks up the entries of the LEDGER that it refers to.
func (r *Reader) readView(p *lineParser) any {
	v := View{How: p.oneOf("a kind of list", ViewChanges, ViewFull, ViewCached, ViewFailed)}
	p.integer("a version")
	ref := p.integer("a list number")
	if v.How != ViewFailed && p.err == nil {
		if ref < 0 || ref >= maxLists {
			p.fail("a list number from 0 to 15")
			return nil
		}
		v.Entries = r.lists[ref]
	}
	return v
}

func readLaunch(_ *Reader, p *lineParser) any {
	seed, err := strconv.ParseUint(p.part(), 10, 64)
	if err != nil {
		p.fail("a seed")
	}
	params := platformsettings.Values{}
	for pair := range strings.FieldsSeq(p.rest) {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			p.fail("path=value")
		}
		params[path] = value
	}
	p.rest = ""
	return Launch{seed, params}
}

func readFromPeer(_ *Reader, p *lineParser) any {
	author := int(p.integer("a peer"))
	body, err := base64.StdEncoding.DecodeString(p.part())
	if err != nil {
		p.fail("a base64-encoded body")
	}
	return FromPeer{author, body}
}
