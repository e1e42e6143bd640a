package ctl

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/burdockplank/burdockplank/internal/losses"
	"github.com/burdockplank/burdockplank/internal/story"
)

// LossesCmd counts, from log files, the requests without a whole answer in time, by cause.
type LossesCmd struct {
	Files []string  `arg:"" help:"Log files of the VMs, in any order."`
	From  time.Time `help:"Only lines from this time on, as 2006-01-02T15:04:05Z."`
	To    time.Time `help:"Only lines before this time."`
}

// Run implements the command.
func (c *LossesCmd) Run(app *App) error {
	if !c.From.IsZero() && !c.To.IsZero() && !c.From.Before(c.To) {
		return usageErrorf("--from: want a time before --to, got %v and %v", c.From, c.To)
	}
	var lines []story.Line
	for _, name := range c.Files {
		log, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, log.Lines...)
	}
	return app.print(newLossesReport(losses.Summarize(lines, c.From, c.To)))
}

// lossesReport is the printed form of a losses.Summary.
type lossesReport struct {
	Causes       []lossesCause `json:"causes"`
	DroppedLines int64         `json:"lines_left_out"`
}

type lossesCause struct {
	Cause    string   `json:"cause"`
	Requests int      `json:"requests"`
	Late     int      `json:"late"`
	IDs      []string `json:"first_ids"`
}

func newLossesReport(summary *losses.Summary) lossesReport {
	r := lossesReport{DroppedLines: summary.DroppedLines}
	for _, c := range summary.Causes {
		r.Causes = append(r.Causes, lossesCause{c.Name, c.Requests, c.Late, c.IDs})
	}
	return r
}

func (r lossesReport) writeText(w io.Writer) {
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "requests\tlate\tcause\tfirst ids")
	for _, c := range r.Causes {
		_, _ = fmt.Fprintf(t, "%d\t%d\t%s\t%s\n", c.Requests, c.Late, c.Cause, strings.Join(c.IDs, " "))
	}
	_ = t.Flush()
	if r.DroppedLines > 0 {
		_, _ = fmt.Fprintf(w, "%d lines were left out by the logs' limits: there may be more requests than counted here.\n", r.DroppedLines)
	}
}
