package simwire

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// lineParser takes the parts of one line, which single spaces separate, and keeps the first error.
type lineParser struct {
	line       int // its number
	text, rest string
	err        error
}

// expected is the error of a line that is not what was wanted.
func (p *lineParser) expected(what string) error {
	const maxQuoted = 120 // bytes
	text := p.text
	if len(text) > maxQuoted {
		text = text[:maxQuoted] + "..."
	}
	return fmt.Errorf("line %d: %s expected in %q", p.line, what, text)
}

func (p *lineParser) fail(what string) {
	if p.err == nil {
		p.err = p.expected(what)
	}
}

// part takes the next part; an absent one is empty.
func (p *lineParser) part() string {
	part, rest, _ := strings.Cut(p.rest, " ")
	p.rest = rest
	if part == "-" {
		return ""
	}
	return part
}

// required takes the next part, which must not be absent.
func (p *lineParser) required(what string) string {
	part := p.part()
	if part == "" {
		p.fail(what)
	}
	return part
}

// integer takes a whole number; an absent one is 0.
func (p *lineParser) integer(what string) int64 {
	part := p.part()
	if part == "" {
		return 0
	}
	n, err := strconv.ParseInt(part, 10, 64)
	if err != nil {
		p.fail(what + ", a whole number,")
	}
	return n
}

// float takes a number; an absent one is 0.
func (p *lineParser) float(what string) float64 {
	part := p.part()
	if part == "" {
		return 0
	}
	n, err := strconv.ParseFloat(part, 64)
	if err != nil {
		p.fail(what + ", a number,")
	}
	return n
}

func (p *lineParser) host() uint32 {
	n, err := strconv.ParseUint(p.part(), 10, 32)
	if err != nil {
		p.fail("a host's number")
	}
	return uint32(n)
}

// bool takes 1 or 0; an absent one is false.
func (p *lineParser) bool() bool { return p.oneOf("1 or 0", "", "0", "1") == "1" }

func (p *lineParser) oneOf(what string, allowed ...string) string {
	part := p.part()
	if !slices.Contains(allowed, part) {
		p.fail(what + " (" + strings.Trim(strings.Join(allowed, ", "), ", ") + ")")
	}
	return part
}

// numbers takes numbers with commas between them; one that is not given is -1. An absent list is nil.
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
				p.fail("load figures")
			}
		}
		numbers = append(numbers, n)
	}
	return numbers
}
