package ctl

import (
	"context"
	"fmt"
	"io"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// SearchCmd sends one search.
type SearchCmd struct {
	CallerFlags
	Service string `required:"" help:"Service to search."`
	Kind    string `required:"" help:"Kind of search, as declared in the bundle."`
	Query   string `required:"" help:"Query text."`
	TopK    int32  `help:"Number of hits; the kind's own by default."`
}

// Run implements the command.
func (c *SearchCmd) Run(ctx context.Context, app *App) error {
	client, err := c.client(app)
	if err != nil {
		return err
	}
	resp, err := client.Search(ctx, &pb.SearchRequest{Service: c.Service, Kind: c.Kind, Query: c.Query, TopK: c.TopK})
	if err != nil {
		return app.requestError(c.Entry, "", err)
	}
	if err := app.print(newSearchReport(resp)); err != nil {
		return err
	}
	return outcomeExit(resp.GetOutcome().GetKind())
}

// searchReport describes the answer to a search.
type searchReport struct {
	Outcome       outcomeReport  `json:"outcome"`
	Coverage      coverageReport `json:"coverage"`
	Snapshot      uint64         `json:"snapshot"`
	BundleVersion uint64         `json:"bundle_version"`
	RequestID     string         `json:"request_id"`
	// QueryDigest is written as a string, because programs that read numbers as float64 would round it.
	QueryDigest uint64      `json:"query_digest,string"`
	Hits        []hitReport `json:"hits"`
	Warnings    []string    `json:"warnings,omitempty"`
}

type coverageReport struct {
	ShardsTotal      uint32          `json:"shards_total"`
	ShardsCovered    uint32          `json:"shards_covered"`
	DocumentsTotal   uint64          `json:"documents_total"`
	DocumentsCovered uint64          `json:"documents_covered"`
	Missing          []missingReport `json:"missing,omitempty"`
}

type missingReport struct {
	Shard  uint32 `json:"shard"`
	Reason string `json:"reason"`
	Peer   string `json:"peer,omitempty"`
}

type hitReport struct {
	Document string  `json:"document"`
	Score    float64 `json:"score"`
	Shard    uint32  `json:"shard"`
	Text     string  `json:"text,omitempty"`
}

func newSearchReport(resp *pb.SearchResponse) searchReport {
	r := searchReport{
		Outcome:       newOutcomeReport(resp.GetOutcome()),
		Coverage:      newCoverageReport(resp.GetCoverage()),
		Snapshot:      resp.GetSnapshot(),
		BundleVersion: resp.GetBundleVersion(),
		RequestID:     resp.GetRequestId(),
		QueryDigest:   resp.GetQueryDigest(),
		Hits:          make([]hitReport, 0, len(resp.GetHits())),
		Warnings:      resp.GetWarnings(),
	}
	for _, h := range resp.GetHits() {
		r.Hits = append(r.Hits, hitReport{h.GetDocument(), h.GetScore(), h.GetShard(), h.GetText()})
	}
	return r
}

func newCoverageReport(c *pb.Coverage) coverageReport {
	r := coverageReport{
		ShardsTotal: c.GetShardsTotal(), ShardsCovered: c.GetShardsCovered(),
		DocumentsTotal: c.GetDocumentsTotal(), DocumentsCovered: c.GetDocumentsCovered(),
	}
	for _, m := range c.GetMissing() {
		r.Missing = append(r.Missing, missingReport{m.GetShard(), outcome.ReasonName(m.GetReason()), m.GetPeer()})
	}
	return r
}

func (r searchReport) writeText(w io.Writer) {
	r.Outcome.writeText(w)
	t := newTable(w)
	_, _ = fmt.Fprintf(t, "coverage\t%s\n", r.Coverage)
	_, _ = fmt.Fprintf(t, "snapshot\t%d\nbundle\t%d\nrequest\t%s\n", r.Snapshot, r.BundleVersion, r.RequestID)
	for _, warning := range r.Warnings {
		_, _ = fmt.Fprintf(t, "warning\t%s\n", warning)
	}
	_ = t.Flush()
	r.Coverage.writeMissing(w)
	_, _ = fmt.Fprintln(w)
	_, _ = fmt.Fprintln(t, "SCORE\tDOCUMENT\tSHARD\tTEXT")
	for _, h := range r.Hits {
		_, _ = fmt.Fprintf(t, "%.4f\t%s\t%d\t%s\n", h.Score, h.Document, h.Shard, h.Text)
	}
	_ = t.Flush()
}

// String returns the shards and the documents that the answer covers. The percentage is truncated, not
// rounded, so that only a whole answer reads 100%.
func (c coverageReport) String() string {
	share := uint64(0)
	if c.DocumentsTotal > 0 {
		share = uint64(float64(c.DocumentsCovered) / float64(c.DocumentsTotal) * 1000)
	}
	return fmt.Sprintf("%d of %d shards, %d of %d documents (%d.%d%%)", c.ShardsCovered, c.ShardsTotal,
		c.DocumentsCovered, c.DocumentsTotal, share/10, share%10)
}

func (c coverageReport) writeMissing(w io.Writer) {
	if len(c.Missing) == 0 {
		return
	}
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "\nMISSING SHARD\tREASON\tLAST PEER")
	for _, m := range c.Missing {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\n", m.Shard, m.Reason, m.Peer)
	}
	_ = t.Flush()
}
