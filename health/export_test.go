package health

import "github.com/tamarackcleat/tamarackcleat/kernel"

// AssignTick returns the message of the timer that renews the share.
func AssignTick() kernel.Message { return assignTick{} }
