package director

import (
	"context"

	"github.com/coltsfootspoke/coltsfootspoke/internal/origins"
)

// recordOrigins holds the origins of streams that an entry began.
func (d *Director) recordOrigins(_ context.Context, r origins.RecordRequest) (origins.RecordReply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, record := range r.Records {
		d.origins.Add(now, record)
	}
	return origins.RecordReply{}, nil
}

// findOrigin returns the origin of an attempt's stream, if this host holds it.
func (d *Director) findOrigin(_ context.Context, r origins.FindRequest) (origins.FindReply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found, known := d.origins.Find(d.clock.Now(), r.Key)
	return origins.FindReply{Known: known, Origin: found}, nil
}
