package simwire

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// lineParser reads the parts of one line, which are separated by single spaces, and stores the first error. A part that is
// "-" or missing counts as absent.
type lineParser struct {
	line       int // line number
	text, rest string
	err        error
}

// expected returns the error for a line that doesn't contain what was expected.
func (p *lineParser) expected(what string) error {
	const maxQuoted = 120 // bytes
	text := p.text
	if len(text) > maxQuoted {
		text = text[:maxQuoted] + "..."
	}
	return fmt.Errorf("line %d: expected %s in %q", p.line, what, text)
}

func (p *lineParser) fail(what string) {
	if p.err == nil {
		p.err = p.expected(what)
	}
}

// part returns the next part, or an empty string if it is absent.
func (p *lineParser) part() string {
	part, rest, _ := strings.Cut(p.rest, " ")
	p.rest = rest
	if part == "-" {
		return ""
	}
	return part
}

// required returns the next part and fails if it is absent.
func (p *lineParser) required(what string) string {
	part := p.part()
	if part == "" {
		p.fail(what)
	}
	return part
}

// integer returns the next part as a whole number, or 0 if it is absent.
func (p *lineParser) integer(what string) int64 {
	part := p.part()
	if part == "" {
		return 0
	}
	n, err := strconv.ParseInt(part, 10, 64)
	if err != nil {
		p.fail(what + " (a whole number)")
	}
	return n
}

// float returns the next part as a number, or 0 if it is absent.
func (p *lineParser) float(what string) float64 {
	part := p.part()
	if part == "" {
		return 0
	}
	n, err := strconv.ParseFloat(part, 64)
	if err != nil {
		p.fail(what + " (a number)")
	}
	return n
}

func (p *lineParser) host() uint32 {
	n, err := strconv.ParseUint(p.part(), 10, 32)
	if err != nil {
		p.fail("a host number")
	}
	return uint32(n)
}

// bool returns whether the next part is 1. It must be 0, 1 or absent.
func (p *lineParser) bool() bool { return p.oneOf("a flag", "", "0", "1") == "1" }

func (p *lineParser) oneOf(what string, allowed ...string) string {
	part := p.part()
	if !slices.Contains(allowed, part) {
		p.fail(what + " (" + strings.Trim(strings.Join(allowed, ", "), ", ") + ")")
	}
	return part
}

// numbers returns the next part as a list of comma-separated numbers. An empty item or "-" becomes -1; an absent list is nil.
func (p *lineParser) numbers() []float64 {
	list := p.part()
	if list == "" {
		return nil
	}
	var numbers []float64
	for part := range strings.SplitSeq(list, ",") {
		n, err := strconv.ParseFloat(part, 64)
		if err != nil {
			n = -1
			if part != "-" && part != "" {
				p.fail("comma-separated numbers")
			}
		}
		numbers = append(numbers, n)
	}
	return numbers
}
