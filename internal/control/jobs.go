package control

import (
	"context"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
)

// jobsLength bounds the jobs that wait for the platform.
const jobsLength = 64

// platformJob is one order or one usage report.
type platformJob struct {
	name   string
	order  *rollout.Order
	report *rollout.UsageReport
	// after is committed once the platform has accepted the job.
	after ledger.Command
}

// runPlatform carries out jobs until the context ends.
func runPlatform(ctx context.Context, platform rollout.Platform, jobs <-chan platformJob, done func(platformJob, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-jobs:
			if job.order != nil {
				done(job, platform.SendOrder(ctx, *job.order))
			} else {
				done(job, platform.SendUsage(ctx, *job.report))
			}
		}
	}
}
