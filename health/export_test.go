package health

import "github.com/tamarackcleat/tamarackcleat/kernel"

// AssignTick returns the timer message on which the service recomputes its share of
// the VMs and sends Observed.
func AssignTick() kernel.Message { return assignTick{} }
