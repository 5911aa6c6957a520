package control

import (
	"context"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
)

// platformQueueSize limits the jobs queued for the platform.
const platformQueueSize = 64

// platformJob is a call to the platform with either an order or a usage report.
type platformJob struct {
	name   string
	order  *rollout.Order
	report *rollout.UsageReport
	// onAccepted is proposed once the platform has accepted the job.
	onAccepted ledger.Command
}

// processPlatformJobs sends jobs to the platform one at a time until the context
// ends.
func processPlatformJobs(ctx context.Context, platform rollout.Platform, jobs <-chan platformJob, done func(platformJob, error)) {
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
