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
	maxMicroseconds = 1e12 // eleven days, beyond any time that a router acts by
	maxCount        = 1e9  // of anything counted
)

// duration is the rule for a time in microseconds.
func duration(path string, required bool) numberRule {
	return numberRule{path, 0, maxMicroseconds, required, true}
}

func share(path string, required bool) numberRule { return numberRule{path, 0, 1, required, false} }

func count(path string, least float64, required bool) numberRule {
	return numberRule{path, least, maxCount, required, true}
}

func amount(path string) numberRule { return numberRule{path, 0, maxCount, false, false} }

// numberRules are the rules for the numbers outside lists. A required number has no default; any other may be left out,
// and means then that there is no such thing.
var numberRules = []numberRule{
	count("Balancers", 1, true), count("Rank", 0, true), amount("OverShareWorth"),
	duration("Obligations.DrainGraceUs", true), duration("Obligations.ColdUs", false), share("Obligations.StartCapacity", false),
	amount("Obligations.TipMultiple"), duration("Obligations.OverloadForUs", false), duration("Obligations.AskWithinUs", false),
	count("Permissions.MaxAttempts", 1, true), count("Permissions.MaxOpen", 0, false),
	duration("Permissions.MaxRetryAfterUs", false), duration("Permissions.ConnIdleUs", true), duration("Permissions.ConnectTimeoutUs", true),
	amount("Prices.CrossZone"), amount("Prices.Waste"),
	count("Extra.AyesNeeded", 0, false), count("Extra.ToAbort", 0, false), count("Extra.GuardedStages", 0, false),
	duration("Extra.VoteStandsUs", false), duration("Extra.CallTimeoutUs", false), amount("Extra.VoteAllowance"),
	duration("Extra.ExposureWindowUs", false), amount("Extra.Free"), amount("Extra.LagFee"), amount("Extra.HarmFee"),
	share("Extra.ComplaintShare", false), share("Extra.SampledShare", false), duration("Extra.MetricsPeriodUs", false),
	duration("Extra.BakeUs", false), duration("Extra.StageTimeUs", false),
}

// flags are the ways to write a setting that is on or off, or left out.
var flags = []string{"", "true", "false", "0", "1"}

// choiceRules are the settings that have one of some values. An empty one says that the setting may be left out.
var choiceRules = []struct {
	path   string
	values []string
}{
	{"RegistryMode", []string{registryPushed, registryOnRequest}},
	{"Extra.Control", []string{"", controlAny, controlShare, controlTimer}},
	{"Extra.Counts", []string{"", countsAll, countsClass}},
	{"Permissions.SecondCopies", flags},
	{"Permissions.Peers", flags},
	{"Permissions.Probes", flags},
	{"Permissions.RetryAfter", flags},
	{"Permissions.Cancel", flags},
}

// Check returns all mistakes in the settings, each a *PathError, joined by errors.Join; nil if there are none.
func Check(v Values) error {
	c := &checker{values: v}
	for _, rule := range numberRules {
		c.number(rule)
	}
	for _, rule := range choiceRules {
		c.choice(rule.path, rule.values...)
	}
	c.identity()
	c.exposureCaps()
	c.classes()
	c.tenants()
	return errors.Join(c.mistakes...)
}

// checker collects the mistakes in settings.
type checker struct {
	values   Values
	mistakes []error
}

func (c *checker) fail(path, format string, values ...any) {
	c.mistakes = append(c.mistakes, &PathError{path, fmt.Sprintf(format, values...)})
}

func (c *checker) number(r numberRule) {
	text, ok := c.values[r.path]
	if !ok {
		if r.required {
			c.fail(r.path, "missing")
		}
		return
	}
	n, err := strconv.ParseFloat(text, 64)
	if inRange := n >= r.min && n <= r.max; err != nil || !inRange || r.integer && n != float64(int64(n)) {
		c.fail(r.path, "a number from %v to %v expected, not %q", r.min, r.max, text)
	}
}

func (c *checker) choice(path string, allowed ...string) {
	if !slices.Contains(allowed, c.values[path]) {
		c.fail(path, "one of %q expected, not %q", allowed, c.values[path])
	}
}

// name checks the name of an item of a list, which has to differ from the names already seen.
func (c *checker) name(path string, seen map[string]bool) {
	switch name := c.values[path]; {
	case name == "":
		c.fail(path, "missing")
	case seen[name]:
		c.fail(path, "%q stands twice", name)
	default:
		seen[name] = true
	}
}

func (c *checker) identity() {
	if c.values["MyZone"] == "" {
		c.fail("MyZone", "missing")
	}
	if routers := c.values.Int("Balancers"); routers > 0 && c.values.Int("Rank") >= routers {
		c.fail("Rank", "less than Balancers expected")
	}
}

func (c *checker) exposureCaps() {
	for i, text := range c.values.List("Extra.StageCap") {
		n, err := strconv.ParseFloat(text, 64)
		if inRange := n >= 0 && n <= 1; err != nil || !inRange {
			c.fail(fmt.Sprintf("Extra.StageCap.%d", i), "a number from 0 to 1 expected, not %q", text)
		}
	}
}

func (c *checker) classes() {
	if c.values.count("Categories") < 1 {
		c.fail("Categories", "at least one expected")
	}
	seen := map[string]bool{}
	for i := range c.values.count("Categories") {
		path := fmt.Sprintf("Categories.%d.", i)
		c.name(path+"Name", seen)
		c.choice(path+"Semantics", semanticsRepeatable, semanticsByKey, semanticsOnce)
		for _, name := range []string{"AimUs", "DeadlineUs"} {
			c.number(numberRule{path + name, 1, maxMicroseconds, true, true})
		}
		c.number(amount(path + "Importance"))
		c.number(amount(path + "LateValue"))
		scopes := []string{scopeAll, scopeZone, scopeCell}
		byKey := c.values[path+"Semantics"] == semanticsByKey
		if !byKey {
			scopes = append([]string{""}, scopes...)
		}
		c.choice(path+"DedupScope", scopes...)
		c.number(duration(path+"WindowUs", byKey))
	}
}

func (c *checker) tenants() {
	seen := map[string]bool{}
	for i := range c.values.count("Parties") {
		path := fmt.Sprintf("Parties.%d.", i)
		c.name(path+"Name", seen)
		c.number(amount(path + "QuotaPerS"))
	}
}
