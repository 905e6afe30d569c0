package platformsettings

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
)

// numberRule restricts the values of a number in the settings.
type numberRule struct {
	path     string
	min, max float64
	required bool
	integer  bool
}

const (
	maxMicroseconds = 1e12 // more than eleven days, longer than any time that a router uses
	maxCount        = 1e9  // limit of every count and amount
)

// duration returns the rule for a duration in microseconds.
func duration(path string, required bool) numberRule {
	return numberRule{path, 0, maxMicroseconds, required, true}
}

func share(path string, required bool) numberRule { return numberRule{path, 0, 1, required, false} }

func count(path string, minimum float64, required bool) numberRule {
	return numberRule{path, minimum, maxCount, required, true}
}

func amount(path string) numberRule { return numberRule{path, 0, maxCount, false, false} }

// numberRules are the rules for the numbers outside lists. A required number has no default. Any other number may be left
// out, which means that the settings have no such limit, price or feature.
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

// flags are the valid values of a setting that is on or off. The empty value means that the setting is left out.
var flags = []string{"", "true", "false", "0", "1"}

// choiceRules are the settings that take one of a fixed set of values. An empty value means that the setting may be left out.
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

// Check returns the errors of all invalid settings, each a *PathError, joined by errors.Join. It returns nil if all settings
// are valid.
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
	return errors.Join(c.errs...)
}

// checker collects the errors of invalid settings.
type checker struct {
	values Values
	errs   []error
}

func (c *checker) fail(path, format string, values ...any) {
	c.errs = append(c.errs, &PathError{path, fmt.Sprintf(format, values...)})
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
		c.fail(r.path, "must be a number from %v to %v, got %q", r.min, r.max, text)
	}
}

func (c *checker) choice(path string, allowed ...string) {
	if !slices.Contains(allowed, c.values[path]) {
		c.fail(path, "must be one of %q, got %q", allowed, c.values[path])
	}
}

// name checks the name of a list item, which must differ from the names already seen.
func (c *checker) name(path string, seen map[string]bool) {
	switch name := c.values[path]; {
	case name == "":
		c.fail(path, "missing")
	case seen[name]:
		c.fail(path, "duplicate name %q", name)
	default:
		seen[name] = true
	}
}

func (c *checker) identity() {
	if c.values["MyZone"] == "" {
		c.fail("MyZone", "missing")
	}
	if routers := c.values.Int("Balancers"); routers > 0 && c.values.Int("Rank") >= routers {
		c.fail("Rank", "must be less than Balancers")
	}
}

func (c *checker) exposureCaps() {
	for i, text := range c.values.List("Extra.StageCap") {
		n, err := strconv.ParseFloat(text, 64)
		if inRange := n >= 0 && n <= 1; err != nil || !inRange {
			c.fail(fmt.Sprintf("Extra.StageCap.%d", i), "must be a number from 0 to 1, got %q", text)
		}
	}
}

func (c *checker) classes() {
	if c.values.count("Categories") < 1 {
		c.fail("Categories", "must have at least one entry")
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
