package platformsettings

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
)

// numberRule is what a number in the settings may be.
type numberRule struct {
	path     string
	min, max float64
	required bool
	integer  bool
}

const (
	maxMicroseconds = 1e12 // microseconds: eleven days, beyond any time that a router acts by
	maxCount        = 1e9  // of anything counted
)

// span is a time in microseconds.
func span(path string, needed bool) numberRule {
	return numberRule{path, 0, maxMicroseconds, needed, true}
}

func share(path string, needed bool) numberRule { return numberRule{path, 0, 1, needed, false} }

func count(path string, least float64, needed bool) numberRule {
	return numberRule{path, least, maxCount, needed, true}
}

func amount(path string) numberRule { return numberRule{path, 0, maxCount, false, false} }

// numberRules are those of the settings that stand by themselves. One that is needed has no value that would do in its
// place; the others may be left out, and mean then that there is no such thing.
var numberRules = []numberRule{
	count("Balancers", 1, true), count("Rank", 0, true), amount("OverShareWorth"),
	span("Obligations.DrainGraceUs", true), span("Obligations.ColdUs", false), share("Obligations.StartCapacity", false),
	amount("Obligations.TipMultiple"), span("Obligations.OverloadForUs", false), span("Obligations.AskWithinUs", false),
	count("Permissions.MaxAttempts", 1, true), count("Permissions.MaxOpen", 0, false),
	span("Permissions.MaxRetryAfterUs", false), span("Permissions.ConnIdleUs", true), span("Permissions.ConnectTimeoutUs", true),
	amount("Prices.CrossZone"), amount("Prices.Waste"),
	count("Extra.AyesNeeded", 0, false), count("Extra.ToAbort", 0, false), count("Extra.GuardedStages", 0, false),
	span("Extra.VoteStandsUs", false), span("Extra.CallTimeoutUs", false), amount("Extra.VoteAllowance"),
	span("Extra.ExposureWindowUs", false), amount("Extra.Free"), amount("Extra.LagFee"), amount("Extra.HarmFee"),
	share("Extra.ComplaintShare", false), share("Extra.SampledShare", false), span("Extra.MetricsPeriodUs", false),
	span("Extra.BakeUs", false), span("Extra.StageTimeUs", false),
}

// choices are the settings that have one of some values; the first tells whether it may be left out.
var choices = map[string][]string{
	"RegistryMode":  {"pushed", "on_request"},
	"Extra.Control": {"", "any", "share", "timer"},
	"Extra.Counts":  {"", "all", "class"},
}

// Check tells all that is wrong in the settings, each by its path.
func Check(p Values) error {
	var wrong []error
	at := func(path, text string, more ...any) {
		wrong = append(wrong, fmt.Errorf("%s: %s", path, fmt.Sprintf(text, more...)))
	}
	number := func(f numberRule) {
		text, ok := p[f.path]
		v, err := strconv.ParseFloat(text, 64)
		switch {
		case !ok && f.required:
			at(f.path, "missing")
		case !ok:
		case err != nil || !(v >= f.min && v <= f.max) || f.integer && v != float64(int64(v)):
			at(f.path, "a number from %v to %v expected, not %q", f.min, f.max, text)
		}
	}
	word := func(path string, of []string) {
		if !slices.Contains(of, p[path]) {
			at(path, "one of %q expected, not %q", of, p[path])
		}
	}
	name := func(list string, i int, seen map[string]bool) {
		path := fmt.Sprintf("%s.%d.Name", list, i)
		if n := p[path]; n == "" {
			at(path, "missing")
		} else if seen[n] {
			at(path, "%q stands twice", n)
		} else {
			seen[n] = true
		}
	}
	for _, f := range numberRules {
		number(f)
	}
	for _, path := range []string{"RegistryMode", "Extra.Control", "Extra.Counts"} {
		word(path, choices[path])
	}
	for _, path := range []string{"SecondCopies", "Peers", "Probes", "RetryAfter", "Cancel"} {
		word("Permissions."+path, []string{"", "true", "false", "0", "1"})
	}
	if p["MyZone"] == "" {
		at("MyZone", "missing")
	}
	if p.Int("Balancers") > 0 && p.Int("Rank") >= p.Int("Balancers") {
		at("Rank", "less than Balancers expected")
	}
	caps := p.List("Extra.StageCap")
	for i, text := range caps {
		if v, err := strconv.ParseFloat(text, 64); err != nil || !(v >= 0 && v <= 1) {
			at(fmt.Sprintf("Extra.StageCap.%d", i), "a number from 0 to 1 expected, not %q", text)
		}
	}
	if p.Int("Categories.count") < 1 {
		at("Categories", "at least one expected")
	}
	seen := map[string]bool{}
	for i := range int(p.Int("Categories.count")) {
		of := fmt.Sprintf("Categories.%d.", i)
		name("Categories", i, seen)
		word(of+"Semantics", []string{"repeatable", "by_key", "once"})
		for _, path := range []string{"AimUs", "DeadlineUs"} {
			number(numberRule{of + path, 1, maxMicroseconds, true, true})
		}
		number(amount(of + "Importance"))
		number(amount(of + "LateValue"))
		if p[of+"Semantics"] != "by_key" {
			word(of+"DedupScope", []string{"", "all", "zone", "cell"})
			number(span(of+"WindowUs", false))
			continue
		}
		word(of+"DedupScope", []string{"all", "zone", "cell"})
		number(span(of+"WindowUs", true))
	}
	seen = map[string]bool{}
	for i := range int(p.Int("Parties.count")) {
		name("Parties", i, seen)
		number(amount(fmt.Sprintf("Parties.%d.QuotaPerS", i)))
	}
	return errors.Join(wrong...)
}
