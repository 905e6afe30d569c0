package planreport

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// printer writes text. After an error it writes nothing more and keeps the error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, values...)
	}
}

// table writes rows as aligned columns. Each cell ends with a tab.
func (p *printer) table(rows func(*printer)) {
	if p.err != nil {
		return
	}
	w := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', tabwriter.AlignRight)
	t := &printer{w: w}
	rows(t)
	if p.err = t.err; p.err == nil {
		p.err = w.Flush()
	}
}
